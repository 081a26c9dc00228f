package admission

import "time"

const (
	// speedSmoothing is the weight of one new sample in a learned mean.
	speedSmoothing = 0.05
	// minSpeedSamples is how many samples make an estimate usable.
	minSpeedSamples = 3
	// minGapWindow is the shortest time over which inter-token times are summed up.
	minGapWindow = 250 * time.Millisecond
	// minWindowTokens is how many output tokens a window needs to say something.
	minWindowTokens = 32
	// minRelativeVariance is the relative variance of the sizes below which a line isn't fitted.
	minRelativeVariance = 0.01
)

// mean is an exponentially weighted mean.
type mean struct {
	value   float64
	samples int
}

func (m *mean) add(sample float64) {
	m.samples++
	weight := max(speedSmoothing, 1/float64(m.samples))
	m.value += weight * (sample - m.value)
}

func (m *mean) known() bool { return m.samples >= minSpeedSamples }

// linearFit is an exponentially weighted least-squares fit of a duration to a size.
type linearFit struct {
	size, seconds, sizeSquared, sizeSeconds mean
}

func (l *linearFit) add(size, seconds float64) {
	l.size.add(size)
	l.seconds.add(seconds)
	l.sizeSquared.add(size * size)
	l.sizeSeconds.add(size * seconds)
}

// predict returns the fitted duration in seconds; 0 if there are too few samples. For
// samples of about one size it doesn't grow beyond their mean.
func (l *linearFit) predict(size float64) float64 {
	if !l.size.known() || l.size.value <= 0 {
		return 0
	}
	if !l.hasSpread() {
		return l.seconds.value * min(1, size/l.size.value)
	}
	slope := l.slope()
	base := l.seconds.value - slope*l.size.value
	return max(0, base+slope*size)
}

// slope returns the seconds for one more unit of size, or 0 if that isn't known.
func (l *linearFit) slope() float64 {
	if !l.size.known() || !l.hasSpread() {
		return 0
	}
	return max(0, (l.sizeSeconds.value-l.size.value*l.seconds.value)/l.variance())
}

func (l *linearFit) variance() float64 { return l.sizeSquared.value - l.size.value*l.size.value }

// hasSpread reports whether the sizes differ enough to fit a line.
func (l *linearFit) hasSpread() bool { return l.variance() >= minRelativeVariance*l.sizeSquared.value }

// speedEstimate is what was learned of the pace of one backend server.
type speedEstimate struct {
	// firstToken fits the time to the first token to the prompt tokens in prefill.
	firstToken linearFit
	// interToken is the time from one output token to the next, in seconds.
	interToken mean
	gaps       gapWindow
	// tokensPerEvent is the number of output tokens in one event of a stream.
	tokensPerEvent mean
	// work and service are the mean work and the mean time of a finished request.
	work    mean
	service mean
}

// gap returns the inter-token time in seconds; 0 if it isn't learned yet.
func (s *speedEstimate) gap() float64 {
	if !s.interToken.known() {
		return 0
	}
	return s.interToken.value
}

// requestDuration returns the time that a request takes from its start to its end, at
// an inter-token time in seconds. What isn't learned yet counts as 0.
func (s *speedEstimate) requestDuration(prefill float64, outputTokens uint32, gap float64) time.Duration {
	seconds := s.firstToken.predict(prefill) + float64(outputTokens)*gap
	return time.Duration(seconds * float64(time.Second))
}

// slotWorkRate returns the work that one dispatch slot does in a second, or 0.
func (s *speedEstimate) slotWorkRate() float64 {
	if !s.service.known() || s.service.value <= 0 {
		return 0
	}
	return s.work.value / s.service.value
}

// gapWindow sums up the inter-token times of a short time.
type gapWindow struct {
	since   time.Time
	seconds float64
	tokens  float64
}

// mean returns the mean inter-token time in seconds.
func (w *gapWindow) mean() float64 { return w.seconds / w.tokens }

// observeGap takes the time that some output tokens of one request took. At the
// end of a window it reports true and the window's mean in seconds.
func (s *speedEstimate) observeGap(now time.Time, gap time.Duration, tokens float64) (mean float64, ended bool) {
	w := &s.gaps
	if w.since.IsZero() {
		w.since = now
	}
	w.seconds += gap.Seconds()
	w.tokens += tokens
	if now.Sub(w.since) < minGapWindow || w.tokens < minWindowTokens {
		return 0, false
	}
	mean = w.mean()
	s.interToken.add(mean)
	*w = gapWindow{since: now}
	return mean, true
}

func (s *speedEstimate) observeFirstToken(t *Ticket, now time.Time) {
	s.firstToken.add(t.prefillAtStart, now.Sub(t.started).Seconds())
}

// observeFinish learns from a whole answer with so many output tokens; 0 if that
// isn't known.
func (s *speedEstimate) observeFinish(t *Ticket, now time.Time, outputTokens uint32) {
	if t.events > 0 && outputTokens > 0 {
		s.tokensPerEvent.add(float64(outputTokens) / float64(t.events))
	}
	s.work.add(t.work)
	s.service.add(now.Sub(t.started).Seconds())
}

// tokensIn returns the output tokens that some events are believed to hold.
func (s *speedEstimate) tokensIn(events int) float64 {
	if s.tokensPerEvent.samples == 0 {
		return float64(events)
	}
	return float64(events) * s.tokensPerEvent.value
}

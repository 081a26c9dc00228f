package admission

import "time"

const (
	// speedSmoothing is the weight of a new sample in an exponentially weighted mean.
	speedSmoothing = 0.05
	// minSpeedSamples is the number of samples from which on an estimate is used.
	minSpeedSamples = 3
	// minGapWindow is the shortest window over which inter-token times are aggregated.
	minGapWindow = 250 * time.Millisecond
	// minWindowTokens is the smallest number of output tokens in a window.
	minWindowTokens = 32
	// minRelativeVariance is the relative variance of the sizes below which no line is fitted.
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

// predict returns the fitted duration in seconds; 0 if there are too few samples. If the
// samples have nearly the same size, the result does not exceed their mean duration.
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

// slope returns the seconds per unit of size, or 0 if unknown.
func (l *linearFit) slope() float64 {
	if !l.size.known() || !l.hasSpread() {
		return 0
	}
	return max(0, (l.sizeSeconds.value-l.size.value*l.seconds.value)/l.variance())
}

func (l *linearFit) variance() float64 { return l.sizeSquared.value - l.size.value*l.size.value }

// hasSpread reports whether the sizes vary enough to fit a line.
func (l *linearFit) hasSpread() bool { return l.variance() >= minRelativeVariance*l.sizeSquared.value }

// speedEstimate holds the estimated speed of one backend server.
type speedEstimate struct {
	// firstToken fits the time to the first token to the prompt tokens in prefill.
	firstToken linearFit
	// interToken is the time between two output tokens, in seconds.
	interToken mean
	gaps       gapWindow
	// tokensPerEvent is the mean number of output tokens in one event of a stream.
	tokensPerEvent mean
	// output and decoding are the mean number of output tokens that were expected of a finished request, and the mean
	// time from its first token to its end, in seconds.
	output, decoding mean
	// work and service are the mean work and the mean slot time, in seconds, of a finished request.
	work    mean
	service mean
}

// perOutputToken returns the mean time for an expected output token, in seconds; 0 if unknown.
func (s *speedEstimate) perOutputToken() float64 {
	if !s.output.known() || s.output.value <= 0 {
		return 0
	}
	return s.decoding.value / s.output.value
}

// gap returns the inter-token time in seconds; 0 if unknown.
func (s *speedEstimate) gap() float64 {
	if !s.interToken.known() {
		return 0
	}
	return s.interToken.value
}

// requestDuration returns the expected duration of a request at the given inter-token time in
// seconds. Unknown components count as 0.
func (s *speedEstimate) requestDuration(prefill float64, outputTokens uint32, gap float64) time.Duration {
	seconds := s.firstToken.predict(prefill) + float64(outputTokens)*gap
	return time.Duration(seconds * float64(time.Second))
}

// slotWorkRate returns the work that one dispatch slot completes per second; 0 if unknown.
func (s *speedEstimate) slotWorkRate() float64 {
	if !s.service.known() || s.service.value <= 0 {
		return 0
	}
	return s.work.value / s.service.value
}

// gapWindow aggregates the inter-token times of a short window.
type gapWindow struct {
	since   time.Time
	seconds float64
	tokens  float64
}

// mean returns the mean inter-token time in seconds.
func (w *gapWindow) mean() float64 { return w.seconds / w.tokens }

// observeGap records the time that tokens of one request took. At the end of a window it
// returns true and the window's mean inter-token time in seconds.
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

// observeFinish records a complete response with the given number of output tokens; 0 if
// unknown.
func (s *speedEstimate) observeFinish(t *Ticket, now time.Time, outputTokens uint32) {
	if t.events > 0 && outputTokens > 0 {
		s.tokensPerEvent.add(float64(outputTokens) / float64(t.events))
	}
	s.work.add(t.work)
	s.service.add(now.Sub(t.started).Seconds())
}

// tokensIn returns the estimated number of output tokens in a number of events.
func (s *speedEstimate) tokensIn(events int) float64 {
	if s.tokensPerEvent.samples == 0 {
		return float64(events)
	}
	return float64(events) * s.tokensPerEvent.value
}

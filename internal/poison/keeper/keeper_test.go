package keeper_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/poison"
	"github.com/lagoonlane/lagoonlane/internal/poison/keeper"
)

const (
	// contactTime is after how long without disturbance the bound on deadly requests holds.
	contactTime = 3 * time.Second
	restartTime = time.Second
)

// memoryLog is a Log that can be away, slow, lose answers and come back from a copy.
type memoryLog struct {
	mu      sync.Mutex
	record  []byte
	offset  uint64
	away    bool
	loses   bool
	delay   time.Duration
	saves   int
	largest int
	// loaded and saved hold when it was called.
	loaded, saved []time.Time
}

var errAway = errors.New("away")

func (l *memoryLog) Load(context.Context) ([]keeper.Copy, keeper.Position, error) {
	l.set(func(l *memoryLog) { l.loaded = append(l.loaded, time.Now()) })
	l.wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away {
		return nil, keeper.Position{}, errAway
	}
	return []keeper.Copy{{Record: l.record}}, keeper.Position{Offset: l.offset}, nil
}

func (l *memoryLog) Save(_ context.Context, record []byte, position keeper.Position) error {
	l.set(func(l *memoryLog) { l.saved = append(l.saved, time.Now()) })
	l.wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.away:
		return errAway
	case position.Offset != l.offset:
		return &keeper.ConflictError{Cause: errAway}
	}
	l.record, l.offset = record, l.offset+1
	l.saves++
	l.largest = max(l.largest, len(record))
	if l.loses {
		return errAway
	}
	return nil
}

func (l *memoryLog) wait() {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	time.Sleep(4*time.Millisecond + delay)
}

func (l *memoryLog) set(change func(*memoryLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

// holderClient calls holders without a network.
type holderClient struct {
	holders []*keeper.Holder
	away    atomic.Bool
}

func (c *holderClient) RoundTrip(r *http.Request) (*http.Response, error) {
	var index int
	if _, err := fmt.Sscanf(r.URL.Host, "holder-%d", &index); err != nil || c.away.Load() {
		return nil, errAway
	}
	mux := http.NewServeMux()
	c.holders[index].Register(mux)
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, r)
	return w.Result(), nil
}

// entry is a process with its evidence.
type entry struct {
	tracker *poison.Tracker
	stop    context.CancelFunc
}

// deployment plays entries whose requests come in virtual time.
type deployment struct {
	c       *qt.C
	log     *memoryLog
	holders *holderClient
	// entries holds nil for a machine whose process isn't running; apart is set while entries don't reach each other.
	entries []*entry
	apart   atomic.Bool
	running sync.WaitGroup

	crashes   int
	crashedAt []time.Time
	// disturbedUntil is until when requests with deadly parts aren't counted.
	disturbedUntil time.Time
	late           int
	soundRefused   int
}

func newDeployment(c *qt.C, machines int) *deployment {
	d := &deployment{c: c, log: &memoryLog{}, holders: &holderClient{}, entries: make([]*entry, machines)}
	for range 5 {
		d.holders.holders = append(d.holders.holders, keeper.NewHolder(time.Now, zerolog.Nop()))
	}
	for i := range machines {
		d.start(i)
	}
	time.Sleep(time.Second)
	return d
}

// start starts the process of a machine.
func (d *deployment) start(i int) {
	var keepers []*keeper.Keeper
	e := &entry{}
	e.tracker = poison.New(poison.Options{Now: time.Now, Engines: func() int { return 20 }, Places: 2, Logger: zerolog.Nop(), OnChange: func(own bool) {
		for _, k := range keepers {
			k.Request(own)
		}
	}})
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	addresses := func() (list []string) {
		for i := range d.holders.holders {
			list = append(list, fmt.Sprint("holder-", i))
		}
		return list
	}
	peers := &keeper.Peers{Client: &http.Client{Transport: d.holders}, Addresses: addresses, URL: func(address string) string { return "http://" + address }}
	for name, log := range map[string]keeper.Log{"store": d.log, "sidecars": peers} {
		k, err := keeper.New(keeper.Options{
			Name: name, Tracker: e.tracker, Log: log, Live: name == "sidecars", Rank: func() int { return i }, Isolated: d.apart.Load, CanServe: func() bool { return true }, Patience: keeper.DefaultPatience, Logger: zerolog.Nop(),
		})
		d.c.Assert(err, qt.IsNil)
		keepers = append(keepers, k)
	}
	for _, k := range keepers {
		d.running.Go(func() { _ = k.Run(ctx) })
	}
	d.entries[i] = e
}

// kill ends processes at the same moment and starts them again.
func (d *deployment) kill(machines ...int) {
	for _, i := range machines {
		d.entries[i].stop()
		d.entries[i] = nil
	}
	d.run(restartTime)
	for _, i := range machines {
		d.start(i)
	}
	if len(machines) == len(d.entries) {
		d.disturbedUntil = time.Now().Add(contactTime)
	}
}

func (d *deployment) killAll() {
	var all []int
	for i := range d.entries {
		all = append(all, i)
	}
	d.kill(all...)
}

// run plays a time: sound requests, and the exchange between entries.
func (d *deployment) run(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
		if e := d.entries[rand.IntN(len(d.entries))]; e != nil && e.tracker.Known() {
			sound := poison.NewPrompt([]string{"5a", "50", "own"})
			if _, _, blocked := e.tracker.Blocked(sound); blocked {
				d.soundRefused++
				continue
			}
			e.tracker.RecordAnswer(sound, 0)
		}
		a, b := d.entries[rand.IntN(len(d.entries))], d.entries[rand.IntN(len(d.entries))]
		if a == nil || b == nil || a == b || d.apart.Load() {
			continue
		}
		b.tracker.HandleReport(fmt.Sprintf("%p", a), a.tracker.Report(fmt.Sprintf("%p", b)), time.Now())
		a.tracker.HandleReport(fmt.Sprintf("%p", b), b.tracker.Report(fmt.Sprintf("%p", a)), time.Now())
	}
}

// send sends a request with a deadly part to some entry. It crashes an engine unless the entry refuses it.
func (d *deployment) send(part string) (refused bool) {
	i := rand.IntN(len(d.entries))
	for d.entries[i] == nil || !d.entries[i].tracker.Known() {
		i = (i + 1) % len(d.entries)
		time.Sleep(time.Millisecond)
	}
	prompt := poison.NewPrompt([]string{"5a", part, "own"})
	if _, _, blocked := d.entries[i].tracker.Blocked(prompt); blocked {
		return true
	}
	now := time.Now()
	if d.crashes >= 5 && now.After(d.crashedAt[4].Add(contactTime)) && now.After(d.disturbedUntil) {
		d.late++
	}
	d.crashes++
	d.crashedAt = append(d.crashedAt, now)
	time.Sleep(time.Duration(rand.IntN(int(100 * time.Millisecond))))
	if e := d.entries[i]; e != nil {
		e.tracker.RecordCrash(fmt.Sprint("engine-", d.crashes), prompt)
	}
	return false
}

func (d *deployment) close() {
	for _, e := range d.entries {
		if e != nil {
			e.stop()
		}
	}
	d.running.Wait()
}

// Guards against parts that crash engines being forgotten when the processes end that know them: as many engines crashed
// again after each kill of all entries.
func TestDeadlyPartIsKnownAfterItsProcessesEnded(t *testing.T) {
	// disturbances come after a crash, between the requests with the part.
	disturbances := map[string]func(d *deployment, crash int){
		"all entries killed":             func(d *deployment, _ int) { d.killAll() },
		"all entries killed twice":       func(d *deployment, _ int) { d.killAll(); d.killAll() },
		"entries one by one":             func(d *deployment, _ int) { d.kill(0); d.kill(1); d.kill(2) },
		"all entries killed while apart": func(d *deployment, _ int) { d.apart.Store(true); d.run(time.Second); d.killAll() },
		"a machine that joins, the old ones": func(d *deployment, _ int) {
			d.entries = append(d.entries, nil)
			d.start(len(d.entries) - 1)
			d.kill(0, 1, 2)
		},
		"killed while the store is away": func(d *deployment, _ int) {
			d.log.set(func(l *memoryLog) { l.away = true })
			d.run(2 * time.Second)
			d.killAll()
			d.log.set(func(l *memoryLog) { l.away = false })
			d.run(time.Second)
		},
		"killed while the store is slow": func(d *deployment, _ int) {
			d.log.set(func(l *memoryLog) { l.delay = 700 * time.Millisecond })
			d.run(2 * time.Second)
			d.killAll()
		},
		"killed while answers are lost": func(d *deployment, _ int) {
			d.log.set(func(l *memoryLog) { l.loses = true })
			d.run(time.Second)
			d.killAll()
			d.log.set(func(l *memoryLog) { l.loses = false })
		},
		"killed with the sidecars":         func(d *deployment, _ int) { d.holders.away.Store(true); d.killAll() },
		"killed, store back from a copy":   func(d *deployment, _ int) { d.log.set(func(l *memoryLog) { l.record = nil }); d.killAll() },
		"store back from a copy, one left": func(d *deployment, _ int) { d.log.set(func(l *memoryLog) { l.record = nil }); d.kill(1, 2) },
	}
	for name, disturb := range disturbances {
		for from := 1; from <= 7; from++ {
			for _, repeated := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, from crash %d, repeated: %t", name, from, repeated), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						d := newDeployment(qt.New(t), 3)
						defer d.close()
						d.run(5 * time.Second)
						for request := 1; request <= 14; request++ {
							d.send("dead")
							// The entry that sees the crash lives long enough to save it.
							d.run(time.Duration(200+rand.IntN(3000)) * time.Millisecond)
							if request == from || repeated && request > from {
								disturb(d, request)
								// A part is told only after other prompts were answered.
								d.run(500 * time.Millisecond)
							}
						}
						d.c.Check(d.crashes <= 5, qt.IsTrue, qt.Commentf("%d crashes", d.crashes))
						d.c.Check(d.late <= 3, qt.IsTrue, qt.Commentf("%d requests too late", d.late))
						d.c.Check(d.soundRefused, qt.Equals, 0)
					})
				})
			}
		}
	}
}

// Guards against entries that don't reach each other, each of which lets a part crash an engine that the others know.
func TestDeadlyPartIsKnownToEntriesThatDoNotReachEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(qt.New(t), 10)
		defer d.close()
		d.apart.Store(true)
		d.run(5 * time.Second)
		for range 30 {
			d.send("dead")
			d.run(2 * time.Second)
		}
		d.c.Check(d.crashes <= 5, qt.IsTrue, qt.Commentf("%d crashes", d.crashes))
		d.c.Check(d.late <= 3, qt.IsTrue, qt.Commentf("%d requests too late", d.late))
		d.c.Check(d.soundRefused, qt.Equals, 0)
	})
}

// Guards against evidence of many parts that doesn't fit, or that is begun anew after a kill.
func TestManyDeadlyPartsAreKnownAfterAKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(qt.New(t), 3)
		defer d.close()
		const parts = 30
		for round := range 6 {
			for i := range parts {
				d.send(fmt.Sprintf("dead%02d", i))
				d.run(200 * time.Millisecond)
			}
			if round%2 == 0 {
				d.killAll()
			}
		}
		d.c.Check(d.crashes <= 4*parts, qt.IsTrue, qt.Commentf("%d crashes under %d parts", d.crashes, parts))
		d.c.Check(d.soundRefused, qt.Equals, 0)
		d.c.Check(d.log.largest < 64<<10, qt.IsTrue, qt.Commentf("a record of %d bytes", d.log.largest))
	})
}

// Guards against a block that was released, or has run out, and that a record or an entry that was cut off brings back.
func TestReleasedBlockStaysReleased(t *testing.T) {
	for _, name := range []string{"killed at once", "an entry apart", "the store away at the release", "after its time"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(qt.New(t), 3)
				defer d.close()
				d.run(2 * time.Second)
				for !d.send("dead") {
					d.run(2 * time.Second)
				}
				prompt := poison.NewPrompt([]string{"5a", "dead", "own"})
				isBlocked := func() (n int) {
					for _, e := range d.entries {
						if _, _, blocked := e.tracker.Blocked(prompt); blocked {
							n++
						}
					}
					return n
				}
				d.run(2 * time.Second)
				d.c.Assert(isBlocked(), qt.Equals, 3)
				switch name {
				case "after its time":
					d.run(5*time.Minute + time.Second)
				case "an entry apart":
					d.apart.Store(true)
					d.entries[0].tracker.RecordAnswer(prompt, 0)
					d.run(time.Second)
					d.kill(0)
					d.run(time.Second)
					d.apart.Store(false)
					d.run(10 * time.Second)
				case "the store away at the release":
					d.log.set(func(l *memoryLog) { l.away = true })
					d.entries[0].tracker.RecordAnswer(prompt, 0)
					d.run(5 * time.Second)
					d.log.set(func(l *memoryLog) { l.away = false })
					d.run(3 * time.Second)
				default:
					d.entries[0].tracker.RecordAnswer(prompt, 0)
					d.run(time.Second)
				}
				for range 3 {
					d.killAll()
					d.run(time.Second)
					d.c.Check(isBlocked(), qt.Equals, 0)
				}
			})
		})
	}
}

// Guards against entries that call the store more often than it allows when many of them see a crash at the same moment,
// and against evidence that is lost then.
func TestManyEntriesSaveWithinTheRatesOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Half of what the store allows all processes together, for all purposes.
		const entries, loadsPerSecond, savesPerSecond = 100, 1000, 200
		d := newDeployment(qt.New(t), entries)
		defer d.close()
		d.holders.away.Store(true)
		time.Sleep(10 * time.Second)
		began := time.Now()
		for i, e := range d.entries {
			e.tracker.RecordCrash(fmt.Sprint("engine-", i), poison.NewPrompt([]string{"5a", "dead", "own"}))
		}
		time.Sleep(20 * time.Second)
		d.log.mu.Lock()
		defer d.log.mu.Unlock()
		most := func(calls []time.Time) (most int) {
			for i, first := range calls {
				if first.Before(began) {
					continue
				}
				n, _ := slices.BinarySearchFunc(calls[i:], first.Add(time.Second), time.Time.Compare)
				most = max(most, n)
			}
			return most
		}
		loads, saves := most(d.log.loaded), most(d.log.saved)
		d.c.Check(loads <= loadsPerSecond && saves <= savesPerSecond, qt.IsTrue, qt.Commentf("%d loads, %d saves in a second", loads, saves))
		d.c.Check(bytes.Count(d.log.record, []byte("engine-")), qt.Equals, entries)
	})
}

// Guards against an entry that serves nothing, or a log that is called without end, while no evidence can be read.
func TestEntryGoesOnWithoutEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := &deployment{c: c, log: &memoryLog{away: true}, holders: &holderClient{holders: make([]*keeper.Holder, 1)}, entries: make([]*entry, 1)}
		d.holders.away.Store(true)
		d.start(0)
		defer d.close()
		time.Sleep(time.Second)
		c.Check(d.entries[0].tracker.Known(), qt.IsFalse)
		time.Sleep(3 * time.Second)
		c.Check(d.entries[0].tracker.Known(), qt.IsTrue)
	})
}

// Guards against records that can't be read, or that strangers fill.
func TestOddRecordsAreReplaced(t *testing.T) {
	for name, record := range map[string]string{
		"text": "x", "list": "[]", "no report": "{}", "null": `{"saved_ms":1,"report":null}`, "negative": `{"report":{"suspects":[{"age_ms":-1,"parts":"AAAAAAAAAAA="}],"blocked":[{"age_ms":-5}]}}`,
		"future": `{"saved_ms":99999999999999,"report":{"answers":[{"part":1,"age_ms":-1}]}}`, "large": `{"report":{"answers":[` + strings.Repeat(`{"part":1},`, 100000) + `{}]}}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(qt.New(t), 1)
				defer d.close()
				d.log.set(func(l *memoryLog) {
					l.record = []byte(record)
					l.offset++
				})
				d.send("dead")
				d.run(time.Second)
				d.c.Check(d.log.saves, qt.Equals, 1)
				d.c.Check(string(d.log.record), qt.Contains, "engine-1")
			})
		})
	}
}

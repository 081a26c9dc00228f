package capacity

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFitRecoversSlopes(t *testing.T) {
	c := qt.New(t)
	cost := func(rates [rateCount]float64) float64 {
		return 0.02 + 0.001*rates[RateRequests] + 0.00002*rates[RateTokens] + 0.003*rates[RateChanges]
	}
	var points []Point
	for _, rates := range [][rateCount]float64{{0, 0, 0}, {10, 100, 0}, {10, 1000, 0}, {50, 500, 0}, {0, 0, 4}, {0, 0, 8}} {
		points = append(points, Point{Rates: rates, CPU: cost(rates)})
	}
	traffic, err := NewFit(points, RateRequests, RateTokens)
	c.Assert(err, qt.IsNil)
	assertNear(c, traffic.Idle, 0.02)
	assertNear(c, traffic.Slopes[0], 0.001)
	assertNear(c, traffic.Slopes[1], 0.00002)
	assertNear(c, traffic.Residual, 0)
	changes, err := NewFit(points, RateChanges)
	c.Assert(err, qt.IsNil)
	assertNear(c, changes.Slopes[0], 0.003)
}

func assertNear(c *qt.C, got, want float64) {
	c.Helper()
	c.Assert(math.Abs(got-want) < 1e-9, qt.IsTrue, qt.Commentf("got %g, want %g", got, want))
}

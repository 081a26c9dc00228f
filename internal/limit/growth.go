package limit

import "time"

const (
	// risenTimeConstant and usualTimeConstant are those of the demand lately and of the demand before.
	risenTimeConstant = 500 * time.Millisecond
	usualTimeConstant = 10 * time.Second
	// growthPeriod is the longest period over which a growth is taken as valid.
	growthPeriod = 500 * time.Millisecond
	// sizeWeight is the weight of a new request in the mean size of the requests.
	sizeWeight = 0.1
	// growthSlack is the demand, in requests per second, by which both sides of the comparison are raised, so that a
	// single request is no growth.
	growthSlack = 2
)

// growth measures by how much the demand for an account has risen at this entry. In a large deployment it shows that
// the account has become busy before the reports of the other entries, which are seconds old, do.
type growth struct {
	risen, usual rate
	// size is the mean number of tokens of a request.
	size float64
}

func newGrowth() growth {
	return growth{risen: rate{timeConstant: risenTimeConstant}, usual: rate{timeConstant: usualTimeConstant}}
}

func (g *growth) add(tokens float64, now time.Time) {
	g.risen.add(tokens, now)
	g.usual.add(tokens, now)
	g.size += sizeWeight * (tokens - g.size)
}

// change returns the demand lately in relation to the demand before, and how far there is enough of it to tell, from 0 to 1.
func (g *growth) change(now time.Time) (ratio, confidence float64) {
	if g.size <= 0 {
		return 1, 0
	}
	slack := growthSlack * g.size
	risen, usual := g.risen.perSecond(now), g.usual.perSecond(now)
	return (risen + slack) / (usual + slack), max(risen, usual) / (max(risen, usual) + slack)
}

package capacity

import (
	"math"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/mat"
)

// Indices of Point.Rates.
const (
	RateRequests = iota
	RateTokens
	RateChanges
	rateCount
)

// Point is one measurement of the processes of one role.
type Point struct {
	// Rates holds requests, tokens and configuration changes per second.
	Rates [rateCount]float64
	// CPU is the processor time of all processes of the role, in seconds per second.
	CPU           float64
	ResidentBytes uint64
}

// hasOnly reports whether all rates of the point except the given ones are 0.
func (p Point) hasOnly(rates []int) bool {
	sum := 0.0
	for _, rate := range p.Rates {
		sum += rate
	}
	for _, rate := range rates {
		sum -= p.Rates[rate]
	}
	return math.Abs(sum) < 1e-9
}

// Fit is a linear model of the processor time, fitted by least squares.
type Fit struct {
	// Idle is the processor time without load, in seconds per second.
	Idle float64
	// Slopes holds, for each fitted rate in order, the processor seconds per request,
	// token or change.
	Slopes []float64
	// Residual is the largest absolute difference between a point and the fit, in seconds
	// per second.
	Residual float64
	rates    []int
}

// NewFit fits the processor time to those points whose other rates are 0. It returns
// an error if the points don't determine the slopes.
func NewFit(points []Point, rates ...int) (Fit, error) {
	var selected []Point
	for _, point := range points {
		if point.hasOnly(rates) {
			selected = append(selected, point)
		}
	}
	matrix := mat.NewDense(len(selected), len(rates)+1, nil)
	costs := mat.NewVecDense(len(selected), nil)
	for i, point := range selected {
		matrix.Set(i, 0, 1)
		for j, rate := range rates {
			matrix.Set(i, j+1, point.Rates[rate])
		}
		costs.SetVec(i, point.CPU)
	}
	var solution mat.VecDense
	if err := solution.SolveVec(matrix, costs); err != nil {
		return Fit{}, errors.Wrap(err, "least squares")
	}
	fit := Fit{Idle: solution.AtVec(0), rates: rates}
	for j := range rates {
		fit.Slopes = append(fit.Slopes, solution.AtVec(j+1))
	}
	for _, point := range selected {
		fit.Residual = max(fit.Residual, math.Abs(point.CPU-fit.CostAt(point)))
	}
	return fit, nil
}

// CostAt returns the fitted processor time at the rates of a point, in seconds per second.
func (f Fit) CostAt(point Point) float64 {
	cost := f.Idle
	for j, rate := range f.rates {
		cost += f.Slopes[j] * point.Rates[rate]
	}
	return cost
}

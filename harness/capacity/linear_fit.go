package capacity

import "math"

// Fit is a least-squares line: its intercept and slope, the standard error of the
// slope, and the root mean square of the residuals as a part of the largest value.
type Fit struct {
	Base       float64
	Slope      float64
	SlopeError float64
	Left       float64
	Points     int
}

// FitLine fits a line to at least two points; with fewer the fit is zero.
func FitLine(sizes, values []float64) Fit {
	count := float64(len(sizes))
	fit := Fit{Points: len(sizes)}
	if len(sizes) < 2 {
		return fit
	}
	meanSize, meanValue, largest := 0.0, 0.0, 0.0
	for index := range sizes {
		meanSize += sizes[index] / count
		meanValue += values[index] / count
		largest = max(largest, math.Abs(values[index]))
	}
	spread, shared := 0.0, 0.0
	for index := range sizes {
		spread += (sizes[index] - meanSize) * (sizes[index] - meanSize)
		shared += (sizes[index] - meanSize) * (values[index] - meanValue)
	}
	if spread == 0 {
		return fit
	}
	fit.Slope = shared / spread
	fit.Base = meanValue - fit.Slope*meanSize
	squares := 0.0
	for index := range sizes {
		left := values[index] - fit.At(sizes[index])
		squares += left * left
	}
	if largest > 0 {
		fit.Left = math.Sqrt(squares/count) / largest
	}
	if len(sizes) > 2 {
		fit.SlopeError = math.Sqrt(squares / (count - 2) / spread)
	}
	return fit
}

// At returns the line's value at a size.
func (fit Fit) At(size float64) float64 { return fit.Base + fit.Slope*size }

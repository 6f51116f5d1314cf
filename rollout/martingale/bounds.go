package martingale

import "math"

// line is one piece of the piecewise linear bound: it holds for all times at once, and is
// lowest, among such lines, at its own time point.
type line struct {
	slope     float64
	intercept float64
}

func (line line) at(time float64) float64 { return line.intercept + line.slope*time }

// firstTimePointFactor times alpha*log(p/delta) is t_1.
const firstTimePointFactor = 2

// timePoints returns t_1 to t_p, from 2 alpha log(p/delta) to the start of the late bound.
func timePoints(options *Options, start float64) []float64 {
	first := firstTimePointFactor * options.Alpha * math.Log(float64(options.Pieces)/(options.Delta/2))
	points := make([]float64, options.Pieces)
	for index := range points {
		part := float64(index) / float64(options.Pieces-1)
		if options.Equidistant {
			points[index] = first + part*(start-first)
		} else {
			points[index] = first * math.Pow(start/first, part)
		}
	}
	return points
}

// newLines returns the lines of Lemma 1 for time points, each with an equal part of delta.
//
// By Hoeffding's lemma exp(lambda*M_t - lambda^2*t/8) is a supermartingale that starts at 1,
// so by Ville's inequality M_t <= log(1/d)/lambda + lambda*t/8 for all t with probability
// 1 - d at least. At t_j that is least for lambda = sqrt(8 log(1/d)/t_j), which makes it
// sqrt(log(1/d)/8) * (t/sqrt(t_j) + sqrt(t_j)).
//
// Two neighbouring lines cross at sqrt(t_j * t_(j+1)), the source's tau_j, so the least of
// all lines is its piecewise bound.
func newLines(points []float64, delta float64) []line {
	scale := math.Sqrt(math.Log(float64(len(points))/delta) / 8)
	lines := make([]line, len(points))
	for index, point := range points {
		lines[index] = line{slope: scale / math.Sqrt(point), intercept: scale * math.Sqrt(point)}
	}
	return lines
}

// lateBound is the bound by the law of the iterated logarithm (Theorem 2 of the source, of
// which Theorem 1 is the case of an alpha of 0.2). It holds from start on.
type lateBound struct {
	start    float64 // s_0
	variance float64 // kappa*alpha*(1-alpha), of one item
	k        float64
	constant float64 // the summand that depends on delta alone
}

// startFactor times log(1/delta) is s_0; the parameter k of the bound follows from it.
const startFactor = 780

func newLateBound(alpha, delta float64) lateBound {
	variance := kappa(alpha) * alpha * (1 - alpha)
	factor := math.Max(startFactor, math.Exp(4)/variance*minRootSquare)
	root := math.Sqrt(factor*variance/math.Exp(4)) - 1 // of k
	width := math.Log((1 + root) / (1 - root))
	return lateBound{
		start:    math.Ceil(factor * math.Log(1/delta)),
		variance: variance,
		k:        root * root,
		constant: math.Log(2 / (delta * width)),
	}
}

// minRootSquare is the least (1 + sqrt(k))^2 that is used: a smaller alpha starts later, so
// that k stays above 0.
const minRootSquare = 1.1

// kappa is the least factor for which the source's supermartingale is one.
func kappa(alpha float64) float64 {
	low := math.Max(1/(6*math.Exp(4))-0.1*alpha, 0)
	return (0.5 + 1/(20*math.Exp(8)) - 0.4*alpha + low) / (1 - alpha)
}

// at is the bound at a time from start on. The square root goes over the whole product.
func (bound lateBound) at(time float64) float64 {
	variance := bound.variance * time
	iterated := math.Log(math.Log(2 * variance / (1 - math.Sqrt(bound.k))))
	return math.Sqrt(4 / (1 - bound.k) * variance * (2*iterated + bound.constant))
}

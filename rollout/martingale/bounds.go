package martingale

import "math"

// line is one piece of the piecewise linear bound: it holds for all times at once, and is
// lowest, among the lines of its kind, at its own time point.
type line struct {
	slope     float64
	intercept float64
}

func (line line) at(time float64) float64 { return line.intercept + line.slope*time }

// firstTimePointFactor times alpha*log(p/delta) is t_1.
const firstTimePointFactor = 2

// newLines returns the lines that together have half of delta.
func newLines(options *Options, start float64) []line {
	budget := math.Log(float64(options.Pieces) / (options.Delta / 2)) // log(1/d) of each line
	lines := make([]line, options.Pieces)
	for index, point := range timePoints(options, budget, start) {
		if options.SourceLines {
			lines[index] = hoeffdingLine(point, budget)
		} else {
			lines[index] = chernoffLine(options.Alpha, point, budget)
		}
	}
	return lines
}

// timePoints returns t_1 to t_p, from 2 alpha log(p/delta) to the start of the late bound.
func timePoints(options *Options, budget, start float64) []float64 {
	first := firstTimePointFactor * options.Alpha * budget
	points := make([]float64, options.Pieces)
	for index := range points {
		part := float64(index) / float64(options.Pieces-1)
		if options.SourceLines {
			points[index] = first + part*(start-first)
		} else {
			points[index] = first * math.Pow(start/first, part)
		}
	}
	return points
}

// hoeffdingLine is a line of Lemma 1, lowest at a time point.
//
// By Hoeffding's lemma exp(lambda*M_t - lambda^2*t/8) is a supermartingale that starts at 1,
// so by Ville's inequality M_t <= log(1/d)/lambda + lambda*t/8 for all t with probability
// 1 - d at least. At t_j that is least for lambda = sqrt(8 log(1/d)/t_j), which makes it
// sqrt(log(1/d)/8) * (t/sqrt(t_j) + sqrt(t_j)).
//
// Two neighbouring lines cross at sqrt(t_j * t_(j+1)), the source's tau_j, so the least of
// all lines is its piecewise bound.
func hoeffdingLine(point, budget float64) line {
	scale := math.Sqrt(budget / 8)
	return line{slope: scale / math.Sqrt(point), intercept: scale * math.Sqrt(point)}
}

// chernoffLine is the line that is lowest at a time point by the distribution of the bits
// itself: exp(lambda*M_t - t*cumulant(lambda)) is a martingale, so that by Ville's inequality
// M_t <= log(1/d)/lambda + t*cumulant(lambda)/lambda for all t with probability 1 - d at least.
func chernoffLine(alpha, point, budget float64) line {
	lambda := bestLambda(alpha, budget/point)
	return line{slope: cumulant(alpha, lambda) / lambda, intercept: budget / lambda}
}

// cumulant is the logarithm of the mean of exp(lambda*x), for a bit less its mean alpha.
func cumulant(alpha, lambda float64) float64 {
	return math.Log(1-alpha+alpha*math.Exp(lambda)) - alpha*lambda
}

const (
	// maxLambda stands for all larger ones: the line is as steep as M can rise by then.
	maxLambda = 20
	// lambdaSteps halve the interval down to the precision of a float64.
	lambdaSteps = 60
)

// bestLambda is where log(1/d)/lambda + t*cumulant(lambda)/lambda is least, for a ratio of
// log(1/d) to t: where lambda*cumulant'(lambda) - cumulant(lambda), which rises, is that ratio.
func bestLambda(alpha, ratio float64) float64 {
	low, high := 0.0, float64(maxLambda)
	for range lambdaSteps {
		lambda := (low + high) / 2
		tilted := alpha * math.Exp(lambda) / (1 - alpha + alpha*math.Exp(lambda))
		if lambda*(tilted-alpha)-cumulant(alpha, lambda) < ratio {
			low = lambda
		} else {
			high = lambda
		}
	}
	return high
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

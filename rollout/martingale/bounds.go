package martingale

import "math"

// line is one piece of the piecewise linear bound. It holds for all times simultaneously and
// is the lowest of its family at its own time point.
type line struct {
	slope     float64
	intercept float64
}

func (line line) at(time float64) float64 { return line.intercept + line.slope*time }

// firstTimePointFactor scales alpha*log(p/delta) to the first time point t_1.
const firstTimePointFactor = 2

// newLines returns the lines, which together spend half of delta.
func newLines(options *Options, start float64) []line {
	logInverse := math.Log(float64(options.Pieces) / (options.Delta / 2)) // log(1/d), d being the delta of one line
	lines := make([]line, options.Pieces)
	for index, point := range timePoints(options, logInverse, start) {
		if options.SourceLines {
			lines[index] = hoeffdingLine(point, logInverse)
		} else {
			lines[index] = chernoffLine(options.Alpha, point, logInverse)
		}
	}
	return lines
}

// timePoints returns t_1 to t_p, from 2 alpha log(p/delta) to start.
func timePoints(options *Options, logInverse, start float64) []float64 {
	first := firstTimePointFactor * options.Alpha * logInverse
	points := make([]float64, options.Pieces)
	for index := range points {
		fraction := float64(index) / float64(options.Pieces-1)
		if options.SourceLines {
			points[index] = first + fraction*(start-first)
		} else {
			points[index] = first * math.Pow(start/first, fraction)
		}
	}
	return points
}

// hoeffdingLine returns the line of Lemma 1 that is lowest at a time point.
//
// By Hoeffding's lemma exp(lambda*M_t - lambda^2*t/8) is a supermartingale that starts at 1,
// so by Ville's inequality M_t <= log(1/d)/lambda + lambda*t/8 for all t with probability
// at least 1 - d. At t_j the right side is minimal for lambda = sqrt(8 log(1/d)/t_j), where it
// equals sqrt(log(1/d)/8) * (t/sqrt(t_j) + sqrt(t_j)).
//
// Adjacent lines cross at sqrt(t_j * t_(j+1)), the paper's tau_j, so the minimum over all
// lines is the paper's piecewise bound.
func hoeffdingLine(point, logInverse float64) line {
	scale := math.Sqrt(logInverse / 8)
	return line{slope: scale / math.Sqrt(point), intercept: scale * math.Sqrt(point)}
}

// chernoffLine returns the line that is lowest at a time point, for the Bernoulli distribution:
// exp(lambda*M_t - t*cumulant(lambda)) is a martingale, so by Ville's inequality
// M_t <= log(1/d)/lambda + t*cumulant(lambda)/lambda for all t with probability at least 1 - d.
func chernoffLine(alpha, point, logInverse float64) line {
	lambda := optimalLambda(alpha, logInverse/point)
	return line{slope: cumulant(alpha, lambda) / lambda, intercept: logInverse / lambda}
}

// cumulant returns log(E[exp(lambda*x)]) of a Bernoulli variable less its mean alpha.
func cumulant(alpha, lambda float64) float64 {
	return math.Log(1-alpha+alpha*math.Exp(lambda)) - alpha*lambda
}

const (
	// maxLambda bounds the search: at this lambda, the line is already as steep as M can rise.
	maxLambda = 20
	// bisectionSteps narrow the interval to the precision of a float64.
	bisectionSteps = 60
)

// optimalLambda returns the lambda that minimizes log(1/d)/lambda + t*cumulant(lambda)/lambda:
// where lambda*cumulant'(lambda) - cumulant(lambda), which increases, is the ratio log(1/d)/t.
func optimalLambda(alpha, ratio float64) float64 {
	low, high := 0.0, float64(maxLambda)
	for range bisectionSteps {
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

// iteratedLogBound is the bound by the law of the iterated logarithm (Theorem 2 of the paper;
// Theorem 1 is the case alpha = 0.2). It holds from start on.
type iteratedLogBound struct {
	start    float64 // s_0
	variance float64 // per item: kappa*alpha*(1-alpha)
	k        float64
	constant float64 // term that does not depend on time
}

// startFactor times log(1/delta) is s_0, which determines the parameter k of the bound.
const startFactor = 780

func newIteratedLogBound(alpha, delta float64) iteratedLogBound {
	variance := kappa(alpha) * alpha * (1 - alpha)
	factor := math.Max(startFactor, math.Exp(4)/variance*minRootSquare)
	rootK := math.Sqrt(factor*variance/math.Exp(4)) - 1
	width := math.Log((1 + rootK) / (1 - rootK))
	return iteratedLogBound{
		start:    math.Ceil(factor * math.Log(1/delta)),
		variance: variance,
		k:        rootK * rootK,
		constant: math.Log(2 / (delta * width)),
	}
}

// minRootSquare is the minimum of (1 + sqrt(k))^2. It keeps k above 0 by a later start
// for a small alpha.
const minRootSquare = 1.1

// kappa returns the smallest factor for which the paper's process is a supermartingale.
func kappa(alpha float64) float64 {
	low := math.Max(1/(6*math.Exp(4))-0.1*alpha, 0)
	return (0.5 + 1/(20*math.Exp(8)) - 0.4*alpha + low) / (1 - alpha)
}

// at returns the bound at a time not before start. The square root covers the whole product.
func (bound iteratedLogBound) at(time float64) float64 {
	variance := bound.variance * time
	logLog := math.Log(math.Log(2 * variance / (1 - math.Sqrt(bound.k))))
	return math.Sqrt(4 / (1 - bound.k) * variance * (2*logLog + bound.constant))
}

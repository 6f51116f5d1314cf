package capacity

import (
	"math"
	"testing"
)

func TestFitLine(test *testing.T) {
	sizes := []float64{12, 48, 192, 768}
	exact := []float64{}
	for _, size := range sizes {
		exact = append(exact, 3+0.5*size)
	}
	fit := FitLine(sizes, exact)
	if math.Abs(fit.Base-3) > 1e-9 || math.Abs(fit.Slope-0.5) > 1e-9 || fit.Left > 1e-9 || fit.SlopeError > 1e-9 || fit.Points != 4 {
		test.Errorf("%+v for a line", fit)
	}
	bent := append([]float64{}, exact...)
	bent[1] += 20
	if off := FitLine(sizes, bent); off.Left < 0.01 || off.SlopeError <= 0 {
		test.Errorf("%+v for what is no line", off)
	}
	for _, few := range []int{0, 1} {
		if none := FitLine(sizes[:few], exact[:few]); none.Slope != 0 || none.Points != few {
			test.Errorf("%+v from %d points", none, few)
		}
	}
	if flat := FitLine([]float64{5, 5}, []float64{1, 2}); flat.Slope != 0 {
		test.Errorf("%+v from one size", flat)
	}
}

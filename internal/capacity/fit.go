package capacity

import "math"

// Fit is a straight line that was fitted to N measured points by least squares.
type Fit struct {
	N                int
	Intercept, Slope float64
	// Residual is the largest vertical distance of a point from the line.
	Residual float64
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// FitLine fits a line to the points (x[i], y[i]) by least squares.
func FitLine(x, y []float64) Fit {
	n := float64(len(x))
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
	}
	f := Fit{N: len(x)}
	if d := n*sumXX - sumX*sumX; d != 0 {
		f.Slope = (n*sumXY - sumX*sumY) / d
	}
	f.Intercept = (sumY - f.Slope*sumX) / n
	for i := range x {
		f.Residual = math.Max(f.Residual, math.Abs(y[i]-f.At(x[i])))
	}
	return f
}

// fitMeasurements fits y over x, two quantities of each measurement in a list.
func fitMeasurements[T any](list []T, x, y func(T) float64) Fit {
	var xs, ys []float64
	for _, m := range list {
		xs = append(xs, x(m))
		ys = append(ys, y(m))
	}
	return FitLine(xs, ys)
}

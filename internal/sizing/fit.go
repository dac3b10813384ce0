// Package sizing computes the capacity of a fleet from slopes measured on small fleets, and measures these slopes.
package sizing

import "math"

// Line is a least-squares fit of measured points.
type Line struct {
	intercept float64
	slope     float64
	// slopeError is the standard error of the slope.
	slopeError float64
	// residual is the root mean square of the residuals.
	residual float64
}

// Intercept returns the fitted value at size 0.
func (l Line) Intercept() float64 { return l.intercept }

// Slope returns the increase of the value per unit of size.
func (l Line) Slope() float64 { return l.slope }

// SlopeError returns the standard error of the slope, 0 for fewer than three points.
func (l Line) SlopeError() float64 { return l.slopeError }

// Residual returns the root mean square of the residuals.
func (l Line) Residual() float64 { return l.residual }

// At returns the fitted value at a size.
func (l Line) At(size float64) float64 { return l.intercept + l.slope*size }

// FitLine returns the least-squares line through the points. If all sizes are equal, it is the horizontal line at the mean value.
func FitLine(sizes, values []float64) Line {
	n := float64(len(sizes))
	if n == 0 {
		return Line{}
	}
	meanSize, meanValue := mean(sizes), mean(values)
	var sizeSquares, products float64
	for i, size := range sizes {
		sizeSquares += (size - meanSize) * (size - meanSize)
		products += (size - meanSize) * (values[i] - meanValue)
	}
	var l Line
	if sizeSquares > 0 {
		l.slope = products / sizeSquares
	}
	l.intercept = meanValue - l.slope*meanSize
	var squares float64
	for i, size := range sizes {
		distance := values[i] - l.At(size)
		squares += distance * distance
	}
	l.residual = math.Sqrt(squares / n)
	if n > 2 && sizeSquares > 0 {
		l.slopeError = math.Sqrt(squares / (n - 2) / sizeSquares)
	}
	return l
}

func mean(values []float64) float64 {
	var sum float64
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

package workload

// ridge is the precision of the prior of each coefficient: the squared ratio of the relative error of an observation, some
// 0.5, to the relative uncertainty of a prior, a quarter. With 2 in place of 4 a single observation doubled a
// prediction; with 8 the rates of 9 VMs took more than 6 s to converge.
const ridge = 4.0

// solve returns the coefficients of the regression relative to their priors, by the normal equations of a ridge
// regression around 1 (Hoerl and Kennard, 1970), within the bounds of engines' rates.
func solve(v *vector) [regressors]float64 {
	var a [regressors][regressors]float64
	var b [regressors]float64
	i := sumProducts
	for row := range regressors {
		for column := row; column < regressors; column++ {
			a[row][column], a[column][row] = v[i], v[i]
			i++
		}
	}
	for row := range regressors {
		a[row][row] = max(a[row][row], 0) + ridge
		b[row] = v[sumTimes+row] + ridge
	}
	out := eliminate(a, b)
	for row := range out {
		// A comparison with NaN fails, so the prior is used.
		if !(out[row] >= minEngineRatio) && !(out[row] < minEngineRatio) {
			out[row] = 1
		}
		out[row] = min(max(out[row], minEngineRatio), maxEngineRatio)
	}
	return out
}

// eliminate solves a linear system with a symmetric positive definite matrix by Gaussian elimination.
func eliminate(a [regressors][regressors]float64, b [regressors]float64) [regressors]float64 {
	for pivot := range regressors {
		for row := pivot + 1; row < regressors; row++ {
			f := a[row][pivot] / a[pivot][pivot]
			for column := pivot; column < regressors; column++ {
				a[row][column] -= f * a[pivot][column]
			}
			b[row] -= f * b[pivot]
		}
	}
	var x [regressors]float64
	for row := regressors - 1; row >= 0; row-- {
		x[row] = b[row]
		for column := row + 1; column < regressors; column++ {
			x[row] -= a[row][column] * x[column]
		}
		x[row] /= a[row][row]
	}
	return x
}

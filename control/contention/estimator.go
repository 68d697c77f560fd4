package contention

const (
	// defaultPressure is the assumed rise per processor in use of an unknown pair.
	defaultPressure = 0.15
	// priorWeight is the weight of that assumption, in squared processors.
	priorWeight = 2.0
	// decay is the factor on the weight of earlier samples with each new one.
	decay = 0.9985
	// maxRise bounds what one outlier can teach.
	maxRise = 4.0
	// doubtWeight is the weight of samples, in squared processors, that halves the doubt.
	doubtWeight = 8.0
	// sweeps is the number of passes of the solver. It starts from the last
	// solution, so that few are enough.
	sweeps = 8
)

// estimator fits the pressures on one serving image: the non-negative least
// squares solution over samples of processors by filling image and the rise.
type estimator struct {
	index map[string]int
	names []string
	// gram and moment are the sums of products that the solution depends on.
	gram   [][]float64
	moment []float64
	value  []float64
	stale  bool
}

func newEstimator() *estimator { return &estimator{index: make(map[string]int)} }

func (e *estimator) position(image string) int {
	i, ok := e.index[image]
	if ok {
		return i
	}
	i = len(e.names)
	e.index[image] = i
	e.names = append(e.names, image)
	for r := range e.gram {
		e.gram[r] = append(e.gram[r], 0)
	}
	e.gram = append(e.gram, make([]float64, i+1))
	e.moment = append(e.moment, 0)
	e.value = append(e.value, defaultPressure)
	return i
}

// add takes in one sample.
func (e *estimator) add(fillers []Filler, rise float64) {
	rise = min(maxRise, max(0, rise))
	positions := make([]int, len(fillers))
	for i, f := range fillers {
		positions[i] = e.position(f.Image)
	}
	for r := range e.gram {
		e.moment[r] *= decay
		for c := range e.gram[r] {
			e.gram[r][c] *= decay
		}
	}
	for i, f := range fillers {
		e.moment[positions[i]] += f.Processors * rise
		for k, g := range fillers {
			e.gram[positions[i]][positions[k]] += f.Processors * g.Processors
		}
	}
	e.stale = true
}

// pressure returns the fitted pressure of a filling image.
func (e *estimator) pressure(image string) float64 {
	i, ok := e.index[image]
	if !ok {
		return defaultPressure
	}
	if e.stale {
		e.solve()
		e.stale = false
	}
	return e.value[i]
}

// doubt returns how far the pressure of a filling image may lie above its fit. It
// shrinks with the weight of the samples that the image was in.
func (e *estimator) doubt(image string) float64 {
	i, ok := e.index[image]
	if !ok {
		return defaultPressure
	}
	return defaultPressure * doubtWeight / (doubtWeight + e.gram[i][i])
}

// solve runs coordinate descent from the last solution.
func (e *estimator) solve() {
	for range sweeps {
		for i := range e.value {
			rest := e.moment[i] + priorWeight*defaultPressure
			for k, v := range e.value {
				if k != i {
					rest -= e.gram[i][k] * v
				}
			}
			e.value[i] = max(0, rest/(e.gram[i][i]+priorWeight))
		}
	}
}

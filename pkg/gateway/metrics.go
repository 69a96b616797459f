package gateway

import (
	"expvar"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram bounds, in milliseconds.
const (
	histogramLowest  = 1
	histogramHighest = 60_000
	histogramDigits  = 2
)

// metrics holds the counters and histograms of the process.
type metrics struct {
	counters *expvar.Map

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

func newMetrics() *metrics {
	return &metrics{counters: new(expvar.Map).Init(), histograms: map[string]*hdrhistogram.Histogram{}}
}

// count adds one to a counter.
func (m *metrics) count(name string) {
	m.counters.Add(name, 1)
}

// set sets a gauge. The caller serializes the calls.
func (m *metrics) set(name string, value float64) {
	gauge, known := m.counters.Get(name).(*expvar.Float)
	if !known {
		gauge = new(expvar.Float)
		m.counters.Set(name, gauge)
	}
	gauge.Set(value)
}

// observe adds a duration to a histogram.
func (m *metrics) observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
		m.histograms[name] = h
	}
	// Values outside the bounds are recorded at the nearest bound.
	if err := h.RecordValue(min(max(d.Milliseconds(), histogramLowest), histogramHighest)); err != nil {
		m.counters.Add("histogram_errors_total", 1)
	}
}

// quantiles are the percentiles that the metrics page shows.
var quantiles = []float64{50, 95, 99}

// write writes all metrics as text, one per line.
func (m *metrics) write(w io.Writer) {
	m.counters.Do(func(kv expvar.KeyValue) {
		_, _ = fmt.Fprintf(w, "corneldeal_%s %s\n", kv.Key, kv.Value)
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(m.histograms)) {
		h := m.histograms[name]
		for _, q := range quantiles {
			_, _ = fmt.Fprintf(w, "corneldeal_%s_ms{quantile=\"%g\"} %d\n", name, q/100, h.ValueAtQuantile(q))
		}
		_, _ = fmt.Fprintf(w, "corneldeal_%s_ms_count %d\n", name, h.TotalCount())
	}
}

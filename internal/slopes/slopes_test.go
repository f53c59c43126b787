package slopes

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSeriesFit(t *testing.T) {
	s := Series{Points: []Point{{10, 25}, {20, 45}, {40, 85}}, DesignSize: 100}
	slope, base := s.Fit()
	require.InDelta(t, 2, slope, 1e-9)
	require.InDelta(t, 5, base, 1e-9)
	require.InDelta(t, 205, s.DesignValue(), 1e-9)

	one := Series{Points: []Point{{1, 7}}, DesignSize: 1}
	require.InDelta(t, 7, one.DesignValue(), 1e-9)
}

// Guards against a decision that allocates in proportion to the size of the deployment, on
// every request. A few objects for its result are allowed.
func TestDecisionAllocationsStayConstant(t *testing.T) {
	const maxGrowth = 2
	for _, d := range decisions {
		t.Run(d.name, func(t *testing.T) {
			tenth := testing.AllocsPerRun(200, d.prepare(max(1, d.designSize/10)))
			full := testing.AllocsPerRun(200, d.prepare(d.designSize))
			require.LessOrEqual(t, full, tenth+maxGrowth)
		})
	}
}

// BenchmarkDecisions measures each decision at a tenth of the design size and at the full
// design size.
func BenchmarkDecisions(b *testing.B) {
	for _, d := range decisions {
		for _, n := range []int{max(1, d.designSize/10), d.designSize} {
			b.Run(fmt.Sprintf("%s/%s=%d", d.name, d.sizeName, n), func(b *testing.B) {
				f := d.prepare(n)
				b.ReportAllocs()
				for b.Loop() {
					f()
				}
			})
		}
	}
}

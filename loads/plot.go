package loads

import (
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot draws the rates of requests, answers in time and refusals, and the p99 of the wait, over time into a PNG file.
func (r Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = r.Name
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests a second; wait p99 in ms"
	perSecond := float64(time.Second/time.Millisecond) / float64(r.BucketMillis)
	requests, inTime, refused, waits := plotter.XYs{}, plotter.XYs{}, plotter.XYs{}, plotter.XYs{}
	for i, b := range r.Buckets {
		x := float64(i) / perSecond
		requests = append(requests, plotter.XY{X: x, Y: float64(b.Requests) * perSecond})
		inTime = append(inTime, plotter.XY{X: x, Y: float64(b.InTime) * perSecond})
		refused = append(refused, plotter.XY{X: x, Y: float64(b.Refused) * perSecond})
		waits = append(waits, plotter.XY{X: x, Y: b.WaitP99})
	}
	err := plotutil.AddLines(p, "asked", requests, "in time", inTime, "refused", refused, "wait p99 (ms)", waits)
	if err != nil {
		return err
	}
	const width, height = 8 * vg.Inch, 4 * vg.Inch
	return p.Save(width, height, file)
}

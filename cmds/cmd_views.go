package cmds

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/corianderdrift/corianderdrift/front"
	"github.com/corianderdrift/corianderdrift/holder"
)

var cmdOwners = command{
	name: "owners", short: "Show the running and waiting tasks and the allocated resources of each owner", flags: clientFlags,
	action: func(inv invocation) error {
		body, _, err := sendRequest(inv, request{method: http.MethodGet, path: "/v1/owners"})
		if err != nil {
			return err
		}
		var reports []holder.OwnerReport
		header := []string{"owner", "running", "waiting", "cpu-milli", "memory-mib", "accelerators"}
		return printResponse(inv, body, &reports, header, func() [][]string {
			var rows [][]string
			for _, o := range reports {
				rows = append(rows, []string{
					o.Owner, strconv.Itoa(o.Running), strconv.Itoa(o.Waiting), fmt.Sprint(o.Allocated.CPUMilli),
					fmt.Sprint(o.Allocated.MemoryMiB), fmt.Sprint(o.Allocated.Accelerators),
				})
			}
			return rows
		})
	},
}

var cmdWorkers = command{
	name: "workers", short: "Show the holder of each worker and how much of its capacity is used", flags: clientFlags,
	action: func(inv invocation) error {
		body, _, err := sendRequest(inv, request{method: http.MethodGet, path: "/v1/workers"})
		if err != nil {
			return err
		}
		var reports []holder.WorkerReport
		header := []string{"worker", "rack", "holder", "epoch", "tasks", "cpu", "memory", "accelerators", "slots", "state"}
		return printResponse(inv, body, &reports, header, func() [][]string {
			var rows [][]string
			for _, w := range reports {
				used, capacity := w.Used.Values(), w.Capacity.Values()
				row := []string{w.Name, w.Rack, w.Holder, fmt.Sprint(w.Epoch), strconv.Itoa(w.Tasks)}
				for i := range 4 {
					row = append(row, fmt.Sprintf("%d/%d", used[i], capacity[i]))
				}
				rows = append(rows, append(row, w.State))
			}
			return rows
		})
	},
}

var cmdHosts = command{
	name: "hosts", short: "Show the entry hosts", flags: clientFlags,
	action: func(inv invocation) error {
		body, _, err := sendRequest(inv, request{method: http.MethodGet, path: "/v1/hosts"})
		if err != nil {
			return err
		}
		var reports []front.HostReport
		header := []string{"host", "data-center", "address", "catalogue", "workers", "load", "state"}
		return printResponse(inv, body, &reports, header, func() [][]string {
			var rows [][]string
			for _, h := range reports {
				rows = append(rows, []string{
					h.Name, h.DataCenter, h.Address, fmt.Sprint(h.CatalogueVersion), strconv.Itoa(h.Workers),
					fmt.Sprintf("%.2f", h.Load), hostState(h),
				})
			}
			return rows
		})
	},
}

func hostState(h front.HostReport) string {
	switch {
	case !h.Alive:
		return fmt.Sprintf("no report for %dms", h.AgeMillis)
	case h.Leaving:
		return "leaving"
	default:
		return "alive"
	}
}

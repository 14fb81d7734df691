package cmds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/spf13/pflag"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/unit"
)

var cmdDev = command{
	name: "dev", short: "Run a fake platform or a fake worker", hidden: true,
	subs: []command{
		{
			name: "platform", short: "Run a fake platform", action: devPlatform,
			flags: func(flags *pflag.FlagSet) {
				flags.String("listen", "127.0.0.1:9000", "address")
				flags.Int("writes", fakes.WritesPerSecond, "maximum number of commits per second")
				flags.Int("reads", fakes.ReadsPerSecond, "maximum number of reads per second")
			},
		},
		{
			name: "worker", short: "Run a fake worker", action: devWorker,
			flags: func(flags *pflag.FlagSet) {
				flags.String("listen", "127.0.0.1:9100", "address")
				flags.String("name", "worker-1", "name")
				flags.String("data-center", "local", "data centre")
				flags.String("rack", "rack-1", "rack")
				flags.Int64("cpu-milli", 16000, "CPU capacity in thousandths of a core")
				flags.Int64("memory-mib", 32768, "memory capacity in MiB")
				flags.Int64("accelerators", 0, "accelerators")
				flags.Int64("slots", 8, "slots")
				flags.Int64("connections", 64, "connections")
				flags.Bool("quiet", false, "record no start and end events")
			},
		},
	},
}

func devPlatform(inv invocation) error {
	writes, _ := inv.flags.GetInt("writes")
	reads, _ := inv.flags.GetInt("reads")
	listen, _ := inv.flags.GetString("listen")
	return listenAndServe(inv.ctx, listen, &http.Server{Handler: fakes.NewPlatform(writes, reads).Handler()})
}

func devWorker(inv invocation) error {
	cfg := fakes.WorkerConfig{Capacity: unit.Size{}}
	cfg.Name, _ = inv.flags.GetString("name")
	cfg.DataCenter, _ = inv.flags.GetString("data-center")
	cfg.Rack, _ = inv.flags.GetString("rack")
	cfg.Capacity.CPUMilli, _ = inv.flags.GetInt64("cpu-milli")
	cfg.Capacity.MemoryMiB, _ = inv.flags.GetInt64("memory-mib")
	cfg.Capacity.Accelerators, _ = inv.flags.GetInt64("accelerators")
	cfg.Capacity.Slots, _ = inv.flags.GetInt64("slots")
	cfg.Capacity.Connections, _ = inv.flags.GetInt64("connections")
	w := fakes.NewWorker(cfg)
	defer w.Close()
	if quiet, _ := inv.flags.GetBool("quiet"); quiet {
		w.Quiet()
	}
	listen, _ := inv.flags.GetString("listen")
	return listenAndServe(inv.ctx, listen, &http.Server{Handler: w.Handler(), ConnState: w.ConnState})
}

// listenAndServe serves until ctx is done.
func listenAndServe(ctx context.Context, listen string, server *http.Server) error {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return &usageError{fmt.Errorf("listen: %w", err)}
	}
	server.ReadHeaderTimeout = 10 * time.Second
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return err
	}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

package local

import (
	"context"
	_ "embed"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/corianderdrift/corianderdrift/conf"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/node"
	"github.com/corianderdrift/corianderdrift/store"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Catalogue is the example catalogue.
//
//go:embed catalogue.yaml
var Catalogue []byte

// CellConfig configures a cell.
type CellConfig struct {
	DataCenters []string
	// Hosts and Workers are the numbers of entry hosts and workers per data centre.
	Hosts   int
	Workers int
	// BasePort is the first loopback port of the entry hosts; 0 selects free ports.
	BasePort int
	Log      logrus.FieldLogger
	// Policy and ShortLimit are settings of the entry hosts.
	Policy     conf.Policy
	ShortLimit time.Duration
	// Quiet turns off the workers' logging of starts and ends.
	Quiet bool
	// Capacity is the capacity of a worker without accelerators.
	Capacity unit.Size
	// AcceleratedCapacity is the capacity of a worker with accelerators.
	AcceleratedCapacity unit.Size
	// AcceleratedEvery is n if every n-th worker of a data centre has accelerators; 0 if none has.
	AcceleratedEvery int
	Pprof            bool
}

// Cell is a running cell.
type Cell struct {
	Hosts    []conf.Host
	Workers  []*fakes.Worker
	Platform *fakes.Platform
	// PlatformAddr is the address of the fake platform.
	PlatformAddr netip.AddrPort
	// WorkerAddrs are the workers' addresses, in the order of Workers.
	WorkerAddrs []netip.AddrPort
	servers     []*http.Server
	stop        context.CancelFunc
	hostGroup   *errgroup.Group
	abort       context.CancelFunc
}

// Capacities of fake workers, like those of the leave desk and of the document service.
var (
	PlainWorkerSize       = unit.Size{CPUMilli: 16000, MemoryMiB: 32 << 10, Slots: 8, Connections: 64}
	AcceleratedWorkerSize = unit.Size{CPUMilli: 32000, MemoryMiB: 128 << 10, Accelerators: 8, Slots: 8, Connections: 64}
)

const readyTimeout = 30 * time.Second

// Start starts a cell and waits until all its entry hosts are ready.
func Start(cellCfg CellConfig) (*Cell, error) {
	c := &Cell{Platform: fakes.NewPlatform(fakes.WritesPerSecond, fakes.ReadsPerSecond)}
	if err := c.startFakes(cellCfg); err != nil {
		c.Stop()
		return nil, err
	}
	if err := c.startHosts(cellCfg); err != nil {
		c.Stop()
		return nil, err
	}
	return c, c.waitReady()
}

// startServer starts an HTTP server for a fake on a free loopback port.
func (c *Cell) startServer(handler http.Handler, connState func(net.Conn, http.ConnState)) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	const headerTimeout = 10 * time.Second
	server := &http.Server{Handler: handler, ConnState: connState, ReadHeaderTimeout: headerTimeout}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }()
	return netip.ParseAddrPort(listener.Addr().String())
}

func (c *Cell) startFakes(cellCfg CellConfig) error {
	platform, err := c.startServer(c.Platform.Handler(), nil)
	if err != nil {
		return err
	}
	c.PlatformAddr = platform
	for _, dataCenter := range cellCfg.DataCenters {
		for i := range cellCfg.Workers {
			if err := c.startWorker(cellCfg, dataCenter, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cell) startWorker(cellCfg CellConfig, dataCenter string, i int) error {
	const perRack = 4
	capacity := cellCfg.Capacity
	if cellCfg.AcceleratedEvery > 0 && i%cellCfg.AcceleratedEvery == cellCfg.AcceleratedEvery-1 {
		capacity = cellCfg.AcceleratedCapacity
	}
	cfg := fakes.WorkerConfig{
		Name: fmt.Sprintf("%s-worker-%d", dataCenter, i+1), DataCenter: dataCenter,
		Rack: fmt.Sprintf("%s-rack-%d", dataCenter, i/perRack+1), Capacity: capacity,
	}
	w := fakes.NewWorker(cfg)
	if cellCfg.Quiet {
		w.Quiet()
	}
	addr, err := c.startServer(w.Handler(), w.ConnState)
	if err != nil {
		return err
	}
	c.Workers = append(c.Workers, w)
	c.WorkerAddrs = append(c.WorkerAddrs, addr)
	c.Platform.SetHost(store.Host{
		Name: cfg.Name, Kind: store.KindWorker, Address: addr, DataCenter: dataCenter, Rack: cfg.Rack,
	})
	return nil
}

func (c *Cell) startHosts(cellCfg CellConfig) error {
	var ctx, abortCtx context.Context
	ctx, c.stop = context.WithCancel(context.Background())
	abortCtx, c.abort = context.WithCancel(context.Background())
	c.hostGroup = &errgroup.Group{}
	port := cellCfg.BasePort
	for _, dataCenter := range cellCfg.DataCenters {
		for i := range cellCfg.Hosts {
			cfg, err := hostConfig(cellCfg, dataCenter, i, &port)
			if err != nil {
				return err
			}
			cfg.Platform = c.PlatformAddr
			c.Hosts = append(c.Hosts, cfg)
			c.Platform.SetHost(store.Host{
				Name: cfg.Name, Kind: store.KindEntry, Address: cfg.Advertise, DataCenter: dataCenter,
			})
		}
	}
	for _, cfg := range c.Hosts {
		n, err := node.New(cfg, cellCfg.Log.WithField("host", cfg.Name))
		if err != nil {
			return err
		}
		c.hostGroup.Go(func() error { return n.Run(ctx, abortCtx) })
	}
	return nil
}

func hostConfig(cellCfg CellConfig, dataCenter string, i int, port *int) (conf.Host, error) {
	listen, err := nextAddr(port)
	if err != nil {
		return conf.Host{}, err
	}
	peer, err := nextAddr(port)
	if err != nil {
		return conf.Host{}, err
	}
	return conf.Host{
		Name: fmt.Sprintf("%s-%d", dataCenter, i+1), DataCenter: dataCenter, Listen: listen, PeerListen: peer,
		Advertise: peer, LeaseTTL: 3 * time.Second, TaskTTL: 12 * time.Second, ShortLimit: cellCfg.ShortLimit,
		StopDelay: 100 * time.Millisecond, StopTimeout: time.Minute, Policy: cellCfg.Policy, Pprof: cellCfg.Pprof,
		Guard: conf.DefaultGuard(),
	}, nil
}

func nextAddr(port *int) (netip.AddrPort, error) {
	if *port > 0 {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(*port))
		*port++
		return addr, nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer listener.Close()
	return netip.ParseAddrPort(listener.Addr().String())
}

func (c *Cell) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	client := &http.Client{Timeout: time.Second}
	for _, cfg := range c.Hosts {
		for !ready(client, cfg.Listen) {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry host %s is not ready after %s", cfg.Name, readyTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func ready(client *http.Client, addr netip.AddrPort) bool {
	resp, err := client.Get("http://" + addr.String() + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Stop shuts the entry hosts down gracefully, then closes the fakes.
func (c *Cell) Stop() {
	if c.stop != nil {
		c.stop()
		_ = c.hostGroup.Wait()
		c.abort()
	}
	for _, w := range c.Workers {
		w.Close()
	}
	for _, server := range c.servers {
		_ = server.Close()
	}
}

// NumHeld returns the number of workers that have a holder.
func (c *Cell) NumHeld() int {
	numHeld := 0
	for _, w := range c.Workers {
		if w.HasLease() {
			numHeld++
		}
	}
	return numHeld
}

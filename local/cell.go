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

// Shape is how large a cell is.
type Shape struct {
	DataCenters []string
	// Hosts and Workers are numbers per data centre; every third worker has accelerators.
	Hosts   int
	Workers int
	// Base is the first of the loopback ports that the cell takes; 0 takes free ones.
	Base int
	Log  logrus.FieldLogger
	// Policy and Lease are settings of the entry hosts.
	Policy     conf.Policy
	ShortLimit time.Duration
	// Quiet workers keep no logs.
	Quiet bool
	// Capacity is what a worker without accelerators has.
	Capacity unit.Size
	// Accelerated is what the others have; zero for no such workers.
	Accelerated unit.Size
	// AcceleratedEvery is the number of workers of which one is accelerated.
	AcceleratedEvery int
	Pprof            bool
}

// Cell is a running cell.
type Cell struct {
	Hosts    []conf.Host
	Workers  []*fakes.Worker
	Platform *fakes.Platform
	// PlatformAddr is where the platform's stand-in listens.
	PlatformAddr netip.AddrPort
	// Addrs are the workers' addresses, in the order of Workers.
	Addrs   []netip.AddrPort
	servers []*http.Server
	stop    context.CancelFunc
	eg      *errgroup.Group
	hard    context.CancelFunc
}

// Sizes of the stand-in workers, like those of the leave desk and of the document service.
var (
	PlainWorker       = unit.Size{CPUMilli: 16000, MemoryMiB: 32 << 10, Slots: 8, Connections: 64}
	AcceleratedWorker = unit.Size{CPUMilli: 32000, MemoryMiB: 128 << 10, Accelerators: 8, Slots: 8, Connections: 64}
)

const readyTime = 30 * time.Second

// Start starts a cell and waits until all its entry hosts are ready.
func Start(shape Shape) (*Cell, error) {
	c := &Cell{Platform: fakes.NewPlatform(fakes.WritesPerSecond, fakes.ReadsPerSecond)}
	if err := c.startStandIns(shape); err != nil {
		c.Stop()
		return nil, err
	}
	if err := c.startHosts(shape); err != nil {
		c.Stop()
		return nil, err
	}
	return c, c.waitReady()
}

// serve starts an HTTP server of a stand-in on a free port.
func (c *Cell) serve(handler http.Handler, state func(net.Conn, http.ConnState)) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	const headerTimeout = 10 * time.Second
	server := &http.Server{Handler: handler, ConnState: state, ReadHeaderTimeout: headerTimeout}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }()
	return netip.ParseAddrPort(listener.Addr().String())
}

func (c *Cell) startStandIns(shape Shape) error {
	platform, err := c.serve(c.Platform.Handler(), nil)
	if err != nil {
		return err
	}
	c.PlatformAddr = platform
	for _, dataCenter := range shape.DataCenters {
		for i := range shape.Workers {
			if err := c.startWorker(shape, dataCenter, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cell) startWorker(shape Shape, dataCenter string, i int) error {
	const perRack = 4
	capacity := shape.Capacity
	if shape.AcceleratedEvery > 0 && i%shape.AcceleratedEvery == shape.AcceleratedEvery-1 {
		capacity = shape.Accelerated
	}
	cfg := fakes.WorkerConfig{
		Name: fmt.Sprintf("%s-worker-%d", dataCenter, i+1), DataCenter: dataCenter,
		Rack: fmt.Sprintf("%s-rack-%d", dataCenter, i/perRack+1), Capacity: capacity,
	}
	w := fakes.NewWorker(cfg)
	if shape.Quiet {
		w.Quiet()
	}
	addr, err := c.serve(w.Handler(), w.ConnState)
	if err != nil {
		return err
	}
	c.Workers = append(c.Workers, w)
	c.Addrs = append(c.Addrs, addr)
	c.Platform.SetHost(store.Host{
		Name: cfg.Name, Kind: store.KindWorker, Address: addr, DataCenter: dataCenter, Rack: cfg.Rack,
	})
	return nil
}

func (c *Cell) startHosts(shape Shape) error {
	var ctx, hard context.Context
	ctx, c.stop = context.WithCancel(context.Background())
	hard, c.hard = context.WithCancel(context.Background())
	c.eg = &errgroup.Group{}
	port := shape.Base
	for _, dataCenter := range shape.DataCenters {
		for i := range shape.Hosts {
			cfg, err := hostConfig(shape, dataCenter, i, &port)
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
		n, err := node.New(cfg, shape.Log.WithField("host", cfg.Name))
		if err != nil {
			return err
		}
		c.eg.Go(func() error { return n.Run(ctx, hard) })
	}
	return nil
}

func hostConfig(shape Shape, dataCenter string, i int, port *int) (conf.Host, error) {
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
		Advertise: peer, LeaseTTL: 3 * time.Second, TaskTTL: 12 * time.Second, ShortLimit: shape.ShortLimit,
		StopDelay: 100 * time.Millisecond, StopLimit: time.Minute, Policy: shape.Policy, Pprof: shape.Pprof,
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
	until := time.Now().Add(readyTime)
	client := &http.Client{Timeout: time.Second}
	for _, cfg := range c.Hosts {
		for !ready(client, cfg.Listen) {
			if time.Now().After(until) {
				return fmt.Errorf("entry host %s is not ready after %s", cfg.Name, readyTime)
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

// Stop stops the entry hosts as planned stops, then the stand-ins.
func (c *Cell) Stop() {
	if c.stop != nil {
		c.stop()
		_ = c.eg.Wait()
		c.hard()
	}
	for _, w := range c.Workers {
		w.Close()
	}
	for _, server := range c.servers {
		_ = server.Close()
	}
}

// Held returns how many workers have a holder.
func (c *Cell) Held() int {
	held := 0
	for _, w := range c.Workers {
		if w.Held() {
			held++
		}
	}
	return held
}

package guard

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/mempool"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/sirupsen/logrus"
)

// The library's pool hands out buffers of any size for small requests, so that small pieces of heads would keep buffers of large bodies in
// memory. Buffers above the pool's limit are left to the collector.
const (
	poolBufferBytes = 1 << 10
	poolMaxBytes    = 8 << 10
)

func init() { mempool.DefaultMemPool = mempool.New(poolBufferBytes, poolMaxBytes) }

// Guard wraps the connections of a server. Its listeners and connections are those of an nbhttp engine in blocking mode, whose handler runs
// on the goroutine that reads from the connection.
type Guard struct {
	budget *Budget
	// peerBudget is separate, so that neither clients nor peers can make the others give way.
	peerBudget *Budget
	limits     atomic.Pointer[Limits]
	// onEnd is called with the cause of each refusal and each connection that the guard closes.
	onEnd func(Cause)
	log   logrus.FieldLogger
	// lingerTime is how long what a client sends after a refusal is dropped.
	lingerTime time.Duration
	// writeTime bounds how long a client may take to read a response, or a piece of 64 kB of it.
	writeTime time.Duration

	mu sync.Mutex
	// closed is signalled after each closed connection.
	closed *sync.Cond
	conns  map[net.Conn]*conn
	places []*place
	peers  []*peerListener
	// opened holds the listeners that Listen has opened.
	opened map[string]net.Listener

	turning  atomic.Bool
	refusals atomic.Int64
}

// place is an address at which the server listens.
type place struct {
	name     string
	address  string
	side     bool
	tls      *tls.Config
	maxConns int
	// open is guarded by the guard's mutex.
	open int
}

// New returns a guard with limits that can be changed later.
func New(sizes Sizes, limits Limits, onEnd func(Cause), log logrus.FieldLogger) *Guard {
	g := &Guard{onEnd: onEnd, log: log, lingerTime: lingerTime, writeTime: writeTimeout, conns: map[net.Conn]*conn{}}
	g.closed = sync.NewCond(&g.mu)
	g.budget = newBudget(sizes.BudgetBytes, g.noteRefusal)
	g.peerBudget = newBudget(sizes.PeerBytes, g.noteRefusal)
	g.peerBudget.reserve = 0
	g.SetLimits(limits)
	return g
}

// Budget returns the budget of clients' requests.
func (g *Guard) Budget() *Budget { return g.budget }

// PeerBudget returns the budget of peers' calls.
func (g *Guard) PeerBudget() *Budget { return g.peerBudget }

// SetLimits changes the limits. They apply to requests that are already arriving, too.
func (g *Guard) SetLimits(limits Limits) {
	limits = limits.withDefaults()
	g.limits.Store(&limits)
}

// AddPlace names an address at which the server listens, and the number of connections there. Side addresses serve only small
// requests that are GET or HEAD.
func (g *Guard) AddPlace(name, address string, maxConns int, side bool) {
	g.places = append(g.places, &place{name: name, address: address, maxConns: maxConns, side: side})
}

// AddTLSPlace is AddPlace for an address at which clients are served over TLS, which the guard ends: for the engine, the address is a plain one.
func (g *Guard) AddTLSPlace(name, address string, maxConns int, cfg *tls.Config) {
	g.places = append(g.places, &place{name: name, address: address, maxConns: maxConns, tls: cfg})
}

// Open returns the number of open connections at the named address.
func (g *Guard) Open(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, p := range g.places {
		if p.name == name {
			n += p.open
		}
	}
	return n
}

// PeersOpen returns the number of open connections of peer hosts.
func (g *Guard) PeersOpen() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, l := range g.peers {
		n += l.open()
	}
	return n
}

// Apply makes an engine use the guard. The engine's own limits only bound what the guard has already bounded.
func (g *Guard) Apply(c *nbhttp.Config) {
	const noLimit = 1 << 30
	c.IOMod, c.MaxLoad, c.MaxBlockingOnline = nbhttp.IOModBlocking, noLimit, noLimit
	c.ReadLimit, c.MaxHTTPBodySize = noLimit, noLimit
	c.Listen = g.listen
	c.OnRequest = func(w http.ResponseWriter, _ *http.Request) {
		if res, ok := w.(*nbhttp.Response); ok {
			if nb, ok := res.Parser.Conn.(*nbhttp.Conn); ok {
				if c, ok := nb.Conn.(*conn); ok {
					c.handled = true
				}
			}
		}
	}
}

// OnOpen puts the guard between the engine and a connection. It is to be called from the engine's callback of that name.
func (g *Guard) OnOpen(nc net.Conn) {
	nb, ok := nc.(*nbhttp.Conn)
	if !ok {
		return
	}
	g.mu.Lock()
	c := g.conns[nb.Conn]
	g.mu.Unlock()
	if c == nil {
		return
	}
	c.nb = nb
	nb.Conn = c
}

// Listen opens the listeners of an engine that is about to start, and closes them if it can't open all: the engine itself would wait without end for
// its accept loops then.
func (g *Guard) Listen(network string, addresses ...string) error {
	g.opened = map[string]net.Listener{}
	for _, address := range addresses {
		l, err := g.open(network, address)
		if err != nil {
			for _, opened := range g.opened {
				_ = opened.Close()
			}
			return err
		}
		g.opened[address] = l
	}
	return nil
}

// listen returns an open listener, or a new one, for an engine.
func (g *Guard) listen(network, address string) (net.Listener, error) {
	if l, ok := g.opened[address]; ok {
		delete(g.opened, address)
		return l, nil
	}
	return g.open(network, address)
}

func (g *Guard) open(network, address string) (net.Listener, error) {
	place := &place{address: address, maxConns: minListenerConns}
	for _, p := range g.places {
		if p.address == address {
			place = p
		}
	}
	buffers := clientBuffers
	if place.side {
		buffers = sideBuffers
	}
	l, err := listenTCP(context.Background(), network, address, buffers)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, g: g, place: place}, nil
}

const (
	// minListenerConns bounds the connections at an address that has no place.
	minListenerConns = 64
	// acceptPause keeps a listener from spinning while the process has no descriptors left.
	acceptPause = 20 * time.Millisecond
)

// listener bounds the number of its connections.
type listener struct {
	net.Listener
	g     *Guard
	place *place
}

// Accept implements net.Listener. While no descriptor is left, it closes connections that are idle or incomplete.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			l.g.mu.Lock()
			if victim := l.g.mostDispensable(l.place); victim != nil {
				victim.expel()
			}
			l.g.mu.Unlock()
			time.Sleep(acceptPause)
			continue
		}
		if l.g.admit(nc, l.place) {
			return nc, nil
		}
		l.g.onEnd(CauseConnections)
		l.g.noteRefusal()
		_ = nc.Close()
	}
}

// admit registers a new connection. If there are too many, the one that is most dispensable is closed instead, unless all have requests that
// are being handled.
func (g *Guard) admit(nc net.Conn, p *place) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for p.open >= p.maxConns {
		victim := g.mostDispensable(p)
		if victim == nil {
			return false
		}
		// A request that has just become complete is not refused.
		for expelled := victim.expel(); expelled && !victim.gone; {
			g.closed.Wait()
		}
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return false
	}
	p.open++
	c := &conn{TCPConn: tcp, g: g, place: p}
	if p.tls != nil {
		c.tls = tls.Server(tcp, p.tls)
	}
	c.account.evict = c.evict
	c.since.Store(time.Now().UnixNano())
	g.conns[nc] = c
	return true
}

// mostDispensable returns the connection at p to be closed first: one whose request has been refused already, then one that has been idle
// for longest or has been sending its request for longest, first among those that have had no response yet. One that doesn't read its response
// counts as refused. It returns nil if all other requests are being handled. The guard must be locked.
func (g *Guard) mostDispensable(p *place) *conn {
	var best *conn
	bestRank, bestSince := 0, int64(0)
	for _, c := range g.conns {
		if c.place != p {
			continue
		}
		rank := c.dispensability()
		since := c.since.Load()
		if rank > bestRank || (rank == bestRank && rank > 0 && since < bestSince) {
			best, bestRank, bestSince = c, rank, since
		}
	}
	return best
}

// forget removes a closed connection.
func (g *Guard) forget(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.gone {
		return
	}
	c.gone = true
	c.place.open--
	delete(g.conns, c.TCPConn)
	g.closed.Broadcast()
}

// calmTime is how long no request must have been turned away for lack of memory or connections until the log says so.
const calmTime = 5 * time.Second

// noteRefusal logs that requests begin to be turned away for lack of memory or connections, and once, later, that they no longer are.
func (g *Guard) noteRefusal() {
	g.refusals.Add(1)
	if !g.turning.CompareAndSwap(false, true) {
		return
	}
	g.log.WithFields(logrus.Fields{"used": g.budget.Used(), "total": g.budget.Total()}).
		Warn("requests are turned away for lack of memory or connections")
	g.watchCalm(g.refusals.Load())
}

func (g *Guard) watchCalm(before int64) {
	time.AfterFunc(calmTime, func() {
		if now := g.refusals.Load(); now != before {
			g.watchCalm(now)
			return
		}
		g.log.WithField("refused", g.refusals.Swap(0)).Info("requests are no longer turned away for lack of memory or connections")
		g.turning.Store(false)
	})
}

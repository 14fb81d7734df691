package fault

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Link says what happens to bytes between a source and a destination.
type Link struct {
	Delay  time.Duration
	Jitter time.Duration
	// HoldUp keeps bytes towards the destination back for as long as it is set; connections stay open.
	HoldUp bool
	// HoldDown keeps bytes towards the source back.
	HoldDown bool
}

// Cut is a link that carries nothing either way.
var Cut = Link{HoldUp: true, HoldDown: true}

// Rule applies a link to the connections that it matches.
type Rule struct {
	// Sources are the addresses that connections come from; none stands for all.
	Sources []netip.Addr
	// Names are the names of proxies; none stands for all.
	Names []string
	Link  Link
}

// Net holds the proxies of an experiment and the rules that are in force for all of them.
type Net struct {
	mu      sync.Mutex
	rules   map[string]Rule
	changed chan struct{}
	proxies []*Proxy
}

// NewNet returns a net without faults.
func NewNet() *Net { return &Net{rules: map[string]Rule{}, changed: make(chan struct{})} }

// Set puts a rule in force under an id.
func (n *Net) Set(id string, rule Rule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules[id] = rule
	n.notify()
}

// Clear takes a rule out of force.
func (n *Net) Clear(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.rules, id)
	n.notify()
}

func (n *Net) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// link adds up the rules that match a connection.
func (n *Net) link(source netip.Addr, name string) (Link, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sum Link
	for _, rule := range n.rules {
		if !matches(rule.Sources, source) || !matches(rule.Names, name) {
			continue
		}
		sum.Delay += rule.Link.Delay
		sum.Jitter += rule.Link.Jitter
		sum.HoldUp = sum.HoldUp || rule.Link.HoldUp
		sum.HoldDown = sum.HoldDown || rule.Link.HoldDown
	}
	return sum, n.changed
}

func matches[T comparable](list []T, value T) bool {
	return len(list) == 0 || slices.Contains(list, value)
}

// Proxy passes the connections to one address on to another.
type Proxy struct {
	net      *Net
	name     string
	target   netip.AddrPort
	listener net.Listener
	mu       sync.Mutex
	conns    map[*pair]bool
	closed   bool
}

// pair is one connection and its continuation.
type pair struct {
	source netip.Addr
	client net.Conn
	server net.Conn
	// silent connections carry nothing for good, although both ends think that they are open.
	silent chan struct{}
	once   sync.Once
	done   chan struct{}
	ending sync.Once
}

// Listen starts a proxy with a name from addr to target.
func (n *Net) Listen(name string, addr, target netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	p := &Proxy{net: n, name: name, target: target, listener: listener, conns: map[*pair]bool{}}
	n.mu.Lock()
	n.proxies = append(n.proxies, p)
	n.mu.Unlock()
	go p.accept()
	return p, nil
}

// Close closes all proxies and their connections.
func (n *Net) Close() {
	n.mu.Lock()
	proxies := n.proxies
	n.mu.Unlock()
	for _, p := range proxies {
		_ = p.listener.Close()
		p.mu.Lock()
		p.closed = true
		p.mu.Unlock()
		p.Reset()
	}
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

// Reset closes all connections that are open now.
func (p *Proxy) Reset() {
	for _, c := range p.open() {
		c.end()
	}
}

// Silence makes all connections that are open now carry nothing for good; new ones work.
func (p *Proxy) Silence() {
	for _, c := range p.open() {
		c.once.Do(func() { close(c.silent) })
	}
}

func (p *Proxy) open() []*pair {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*pair
	for c := range p.conns {
		list = append(list, c)
	}
	return list
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	source, _ := netip.ParseAddrPort(client.RemoteAddr().String())
	server, err := net.Dial("tcp", p.target.String())
	if err != nil {
		_ = client.Close()
		return
	}
	c := &pair{
		source: source.Addr(), client: client, server: server, silent: make(chan struct{}), done: make(chan struct{}),
	}
	p.mu.Lock()
	p.conns[c] = true
	closed := p.closed
	p.mu.Unlock()
	if closed {
		c.end()
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.pump(c, client, server, true) })
	wg.Go(func() { p.pump(c, server, client, false) })
	wg.Wait()
	c.end()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (c *pair) end() {
	c.ending.Do(func() {
		close(c.done)
		_ = c.client.Close()
		_ = c.server.Close()
	})
}

func (p *Proxy) pump(c *pair, from, to net.Conn, up bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.pass(c, up) {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				c.end()
				return
			}
		}
		if err != nil {
			// The end of a connection is news too: a link that holds bytes back also holds this back.
			if p.pass(c, up) {
				c.end()
			}
			return
		}
	}
}

// pass waits as the rules say; it reports false when the connection carries nothing any more.
func (p *Proxy) pass(c *pair, up bool) bool {
	for {
		select {
		case <-c.silent:
			<-c.done
			return false
		case <-c.done:
			return false
		default:
		}
		link, changed := p.net.link(c.source, p.name)
		held := (up && link.HoldUp) || (!up && link.HoldDown)
		if !held {
			return p.delay(c, link)
		}
		select {
		case <-changed:
		case <-c.silent:
		case <-c.done:
			return false
		}
	}
}

func (p *Proxy) delay(c *pair, link Link) bool {
	wait := link.Delay
	if link.Jitter > 0 {
		wait += rand.N(link.Jitter)
	}
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.done:
		return false
	}
}

package fault

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Link describes the delays and faults of a connection between a source and a proxy's target.
type Link struct {
	Delay  time.Duration
	Jitter time.Duration
	// HoldToTarget holds back bytes towards the target for as long as it is set; connections stay open.
	HoldToTarget bool
	// HoldToSource holds back bytes towards the source in the same way.
	HoldToSource bool
}

// Partition is a link that holds back bytes in both directions.
var Partition = Link{HoldToTarget: true, HoldToSource: true}

// Rule applies a link to the connections that it matches.
type Rule struct {
	// Sources are the source addresses that the rule applies to; an empty list matches all.
	Sources []netip.Addr
	// ProxyNames are the names of the proxies that the rule applies to; an empty list matches all.
	ProxyNames []string
	Link       Link
}

// Network holds the proxies of an experiment and the rules that apply to them.
type Network struct {
	mu      sync.Mutex
	rules   map[string]Rule
	changed chan struct{}
	proxies []*Proxy
}

// NewNetwork returns a network without proxies or rules.
func NewNetwork() *Network { return &Network{rules: map[string]Rule{}, changed: make(chan struct{})} }

// Set adds a rule under an id or replaces the one with that id.
func (n *Network) Set(id string, rule Rule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules[id] = rule
	n.notify()
}

// Clear removes the rule with an id.
func (n *Network) Clear(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.rules, id)
	n.notify()
}

func (n *Network) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// linkFor combines the rules that match a connection; the channel is closed when a rule changes.
func (n *Network) linkFor(source netip.Addr, name string) (Link, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var total Link
	for _, rule := range n.rules {
		if !matches(rule.Sources, source) || !matches(rule.ProxyNames, name) {
			continue
		}
		total.Delay += rule.Link.Delay
		total.Jitter += rule.Link.Jitter
		total.HoldToTarget = total.HoldToTarget || rule.Link.HoldToTarget
		total.HoldToSource = total.HoldToSource || rule.Link.HoldToSource
	}
	return total, n.changed
}

func matches[T comparable](list []T, value T) bool {
	return len(list) == 0 || slices.Contains(list, value)
}

// Proxy forwards connections from one address to another.
type Proxy struct {
	network  *Network
	name     string
	target   netip.AddrPort
	listener net.Listener
	mu       sync.Mutex
	conns    map[*connPair]bool
	closed   bool
}

// connPair is a client's connection and the connection to the target that it is forwarded to.
type connPair struct {
	source netip.Addr
	client net.Conn
	server net.Conn
	// blackholed is closed to stop forwarding for good while both connections stay open.
	blackholed    chan struct{}
	blackholeOnce sync.Once
	done          chan struct{}
	endOnce       sync.Once
}

// Listen starts a named proxy that listens on addr and forwards connections to target.
func (n *Network) Listen(name string, addr, target netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	p := &Proxy{network: n, name: name, target: target, listener: listener, conns: map[*connPair]bool{}}
	n.mu.Lock()
	n.proxies = append(n.proxies, p)
	n.mu.Unlock()
	go p.accept()
	return p, nil
}

// Close closes all proxies and their connections.
func (n *Network) Close() {
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

// Addr returns the proxy's listen address.
func (p *Proxy) Addr() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

// Reset closes all current connections.
func (p *Proxy) Reset() {
	for _, c := range p.openConns() {
		c.end()
	}
}

// Blackhole permanently stops forwarding on all current connections and leaves them open; new connections work.
func (p *Proxy) Blackhole() {
	for _, c := range p.openConns() {
		c.blackholeOnce.Do(func() { close(c.blackholed) })
	}
}

func (p *Proxy) openConns() []*connPair {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*connPair
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
	c := &connPair{
		source: source.Addr(), client: client, server: server, blackholed: make(chan struct{}), done: make(chan struct{}),
	}
	p.mu.Lock()
	p.conns[c] = true
	closed := p.closed
	p.mu.Unlock()
	if closed {
		c.end()
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.copyBytes(c, client, server, true) })
	wg.Go(func() { p.copyBytes(c, server, client, false) })
	wg.Wait()
	c.end()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (c *connPair) end() {
	c.endOnce.Do(func() {
		close(c.done)
		_ = c.client.Close()
		_ = c.server.Close()
	})
}

func (p *Proxy) copyBytes(c *connPair, from, to net.Conn, toTarget bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.waitToForward(c, toTarget) {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				c.end()
				return
			}
		}
		if err != nil {
			// Closing a connection is also information: a link that holds back bytes delays it too.
			if p.waitToForward(c, toTarget) {
				c.end()
			}
			return
		}
	}
}

// waitToForward waits until the rules let bytes pass; it returns false if the connection no longer forwards any.
func (p *Proxy) waitToForward(c *connPair, toTarget bool) bool {
	for {
		select {
		case <-c.blackholed:
			<-c.done
			return false
		case <-c.done:
			return false
		default:
		}
		link, changed := p.network.linkFor(c.source, p.name)
		held := (toTarget && link.HoldToTarget) || (!toTarget && link.HoldToSource)
		if !held {
			return p.delay(c, link)
		}
		select {
		case <-changed:
		case <-c.blackholed:
		case <-c.done:
			return false
		}
	}
}

func (p *Proxy) delay(c *connPair, link Link) bool {
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

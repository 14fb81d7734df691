package guard

import (
	"time"

	"github.com/corianderdrift/corianderdrift/budget"
	"github.com/corianderdrift/corianderdrift/graph"
)

// Limits restrict the requests and the connections of clients.
type Limits struct {
	// HeadBytes bounds the request line and the header lines, with the empty line at their end.
	HeadBytes int
	BodyBytes int
	// HeadTimeout bounds the time from the first byte of a request to the end of its head.
	HeadTimeout time.Duration
	// IdleTimeout bounds the time between requests.
	IdleTimeout time.Duration
}

// Defaults of the limits, which are those of the deployments.
const (
	DefaultHeadBytes   = 16 << 10
	DefaultBodyBytes   = 256 << 10
	DefaultHeadTimeout = 3 * time.Second
	DefaultIdleTimeout = 15 * time.Second
)

// withDefaults replaces limits that are not set.
func (l Limits) withDefaults() Limits {
	return Limits{
		HeadBytes: orDefault(l.HeadBytes, DefaultHeadBytes), BodyBytes: orDefault(l.BodyBytes, DefaultBodyBytes),
		HeadTimeout: orDefault(l.HeadTimeout, DefaultHeadTimeout), IdleTimeout: orDefault(l.IdleTimeout, DefaultIdleTimeout),
	}
}

func orDefault[T int | time.Duration](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}

// Bounds of the time that a body may take: a start-up time and a minimum rate, up to an absolute maximum. A body of the default size may take
// 42 s; callers give up after a few seconds.
const (
	bodyGrace       = 10 * time.Second
	minBodyRate     = 8 << 10
	maxBodyDuration = 10 * time.Minute
)

// bodyDeadline returns until when more of a body must have arrived, and its end.
func bodyDeadline(began time.Time, received int) time.Time {
	allowed := bodyGrace + time.Duration(received)*time.Second/minBodyRate
	return began.Add(min(allowed, maxBodyDuration))
}

// Costs of requests in bytes of memory.
const (
	// headByteCost covers the bytes of a head in the parser's buffer, and as strings.
	headByteCost = 3
	// lineCost covers the strings and the map entry of a header line, whatever its length.
	lineCost = 200
	// bodyByteCost covers a body in the parser's buffer, which grows by doubling, in the request, in the handler's buffer, and decoded.
	bodyByteCost = 8
	// connCost covers what a connection takes beside its account: a goroutine, buffers, and a request of up to freeCharge.
	connCost = 16 << 10
	// tlsCost covers the state, records and handshake messages of a TLS connection.
	tlsCost = 64 << 10
	// freeCharge is the cost of a request that needs no account: about 1 kB of head with 20 lines, or less head and some body.
	freeCharge = 8 << 10
)

// requestCost returns what a request takes from its first byte until its response is written.
func requestCost(s *Scanner) int64 {
	// Chunks of a few bytes each are buffered together, so what surrounds them isn't kept.
	return int64(s.HeadBytes()*headByteCost + s.Lines()*lineCost + s.BodyBytes()*bodyByteCost)
}

// Sizes are the bounds of a process that follow from the resources of its host.
type Sizes struct {
	// BudgetBytes bounds what clients' requests take together, PeerBytes what peers' calls take, and RelayBytes what the table's answers take that are
	// passed on to peers.
	BudgetBytes int64
	PeerBytes   int64
	RelayBytes  int64
	// Connections bounds the clients' connections, SideConnections those at each of the addresses for metrics and readiness checks, and
	// PeerConnections those of peers.
	Connections     int
	SideConnections int
	PeerConnections int
	// RelayCalls bounds the calls to the table that are passed on for peers at the same time.
	RelayCalls int
	// GoBytes is the soft limit of the Go runtime's memory.
	GoBytes int64
}

// Defaults of hosts whose resources are not known.
const (
	DefaultMemoryBytes = 512 << 20
	DefaultDescriptors = 4096
)

// Parts of a host's memory.
const (
	// ownBytes is what the program takes without clients on the largest deployment: 60 to 80 MB were measured.
	ownBytes = 80 << 20
	// programBytes is the part of it that is not Go's: the program's code and data.
	programBytes = 28 << 20
	// socketPart is the part for what the kernel keeps of connections.
	socketPart = 7
	// minSparePart is the part that is left for clients and peers on smaller hosts.
	minSparePart = 5
	// connPart is the part of what is spare that connections may take, beside their requests.
	connPart = 4
	// overshootPart is by how much the Go runtime may exceed its soft limit under load.
	overshootPart = 10
)

// minConns is the least number of clients' connections, however small the host is.
const minConns = 64

// spareBytes returns the part of the memory that is left for clients and peers.
func spareBytes(memoryBytes int64) int64 {
	return max(memoryBytes-ownBytes-memoryBytes/socketPart, memoryBytes/minSparePart)
}

// connectionsFor returns the number of clients' connections for which a host with the given memory has room beside its other sockets.
func connectionsFor(memoryBytes, bytesPerConn int64, side, peers int) int {
	const sideAddresses = 2
	queues := clientBuffers.ReceiveBytes + sideAddresses*sideBuffers.ReceiveBytes + peerBuffers.ReceiveBytes
	kernel := memoryBytes/socketPart - int64(queuedConns*queues) -
		int64(sideAddresses*side)*sideBuffers.bytes() - int64(peers)*peerBuffers.bytes()
	return int(min(kernel/clientBuffers.bytes(), spareBytes(memoryBytes)/connPart/bytesPerConn))
}

// JobBytesFor returns the part of what the program takes itself that is for accepted jobs, on a host with the given memory; 0 stands for the default.
func JobBytesFor(memoryBytes int64) budget.Limit {
	const jobPart = 8
	if memoryBytes <= 0 {
		memoryBytes = DefaultMemoryBytes
	}
	return budget.Limit(memoryBytes / jobPart)
}

// TaskBytes is about how much memory the host that runs a group takes for a task of which it keeps what is known: one that runs, or that waits after a
// run.
const TaskBytes = 1280

// TasksFor returns for how many such tasks a host with the given memory has room, whichever groups they are of; 0 stands for the default. It is an eighth
// of the memory, and up to a quarter where that is too little for a job of graph.MaxTasks.
func TasksFor(memoryBytes int64) budget.Limit {
	const usualPart, largestPart = 8, 4
	if memoryBytes <= 0 {
		memoryBytes = DefaultMemoryBytes
	}
	usual, largest := budget.Limit(memoryBytes/usualPart/TaskBytes), budget.Limit(memoryBytes/largestPart/TaskBytes)
	return max(usual, min(budget.ForLarge(graph.MaxTasks), largest))
}

// SizesFor returns the sizes for a host with the given memory, where clients may open up to maxConns connections, over TLS or not, if there is room
// for them.
func SizesFor(memoryBytes int64, maxConns int, overTLS bool) Sizes {
	bytesPerConn := int64(connCost)
	if overTLS {
		bytesPerConn += tlsCost
	}
	conns := min(maxConns, max(minConns, connectionsFor(memoryBytes, bytesPerConn, 0, 0)))
	return sizesWith(memoryBytes, int64(conns)*bytesPerConn, conns, 0, 0)
}

// SizesOf returns the sizes for a host with the given memory and file descriptors; 0 stands for the default.
func SizesOf(memoryBytes int64, descriptors int) Sizes {
	const (
		// fileDescriptors are not for sockets.
		fileDescriptors = 200
		// A client's request that is being handled may need a connection to the table beside its own, and a call that is passed on needs one. The
		// other sockets are for workers, peers and the platform.
		connsPart, relayCallsPart  = 4, 8
		peersPart, sidePart        = 16, 64
		minSideConns, maxSideConns = 16, 32
		minPeerConns, maxPeerConns = 16, 128
		memoryPerPeer              = 1400 << 10
	)
	if memoryBytes <= 0 {
		memoryBytes = DefaultMemoryBytes
	}
	if descriptors <= 0 {
		descriptors = DefaultDescriptors
	}
	sockets := max(descriptors-fileDescriptors, descriptors/2)
	side := min(max(minSideConns, sockets/sidePart), maxSideConns)
	peers := min(max(minPeerConns, min(sockets/peersPart, int(memoryBytes/memoryPerPeer))), maxPeerConns)
	conns := max(minConns, min(connectionsFor(memoryBytes, connCost, side, peers), sockets/connsPart))
	sizes := sizesWith(memoryBytes, int64(conns)*connCost, conns, side, peers)
	sizes.RelayCalls = sockets / relayCallsPart
	return sizes
}

// sizesWith returns the sizes for a host with the given memory and numbers of connections, those of clients with what they take.
func sizesWith(memoryBytes, connBytes int64, conns, side, peers int) Sizes {
	const (
		// The collector allows 40 parts of garbage to 100 parts in use.
		inUse, withGarbage   = 10, 14
		goNumerator, goParts = 5, 8
		minGoPart            = 4
		// A peer's largest message must fit, but not at the cost of clients.
		peerBytesPart, maxPeerBytesPart = 4, 3
		relayPart                       = 8
	)
	requests := (spareBytes(memoryBytes) - connBytes) * inUse / withGarbage
	peerBytes := max(requests/peerBytesPart, min(peerMessageBytes*peerByteCost, requests/maxPeerBytesPart))
	relayBytes := max(requests/relayPart, relayPageBytes)
	return Sizes{
		BudgetBytes:     requests - peerBytes - relayBytes,
		PeerBytes:       peerBytes,
		RelayBytes:      relayBytes,
		Connections:     conns,
		SideConnections: side,
		PeerConnections: peers,
		GoBytes: max(memoryBytes/minGoPart, min(memoryBytes/goParts*goNumerator,
			memoryBytes-programBytes-memoryBytes/socketPart-memoryBytes/overshootPart)),
	}
}

// Fits reports whether a single request of the largest size that l allows is served in calm.
func (s Sizes) Fits(l Limits) bool {
	l = l.withDefaults()
	b := newBudget(s.BudgetBytes, func() {})
	// The shortest header line has 4 bytes.
	const shortestLine = 4
	cost := requestCost(&Scanner{head: l.HeadBytes, lines: l.HeadBytes / shortestLine, body: l.BodyBytes})
	return b.fits(&account{}, cost, 0, 0)
}

package runner_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/table"
)

// Parameters of acquiring and releasing the lease, as in package agent.
const (
	campaignInterval  = 50 * time.Millisecond
	rankDelay         = 120 * time.Millisecond
	leaseReadInterval = 200 * time.Millisecond
	confirmationTTL   = 500 * time.Millisecond
	maxUnrenewed      = 6 * time.Second
	stopLimit         = 3 * time.Second
)

var (
	errHostDead       = errors.New("host is dead")
	errNoLongerWanted = errors.New("the order is no longer wanted")
)

// network is a set of hosts that compete for the lease of one group.
type network struct {
	store     *fakes.Table
	workers   *fakes.WorkerSet
	registry  *fakes.Registry
	configs   *queues.Store
	advisor   runner.Advisors
	log       logrus.FieldLogger
	startedAt time.Time
	// group is the group whose lease the hosts compete for; empty for that of service.
	group string

	mu    sync.Mutex
	hosts []*host
	// cuts holds the partitions of the network that are in force, in their order.
	cuts []*cut
}

func (n *network) groupName() string {
	if n.group == "" {
		return service
	}
	return n.group
}

// hostName returns the name of the host with the given rank. Hosts of several networks can share a table.
func (n *network) hostName(rank int) string { return fmt.Sprintf("%shost%d", n.group, rank) }

// cut is a partition of the network; a nil function cuts nothing. Hosts are given by name, since a partition outlasts their processes.
type cut struct {
	// order returns the fault of an order from a host to a worker.
	order func(host string, call fakes.OrderCall) fakes.OrderFaultKind
	// call reports whether a host can't call another one.
	call func(from, to string) bool
	// table returns the fault of a host's calls to the table.
	table func(host string) fakes.TableFault
}

// addCut partitions the network until remove is called.
func (n *network) addCut(c *cut) (remove func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = append(n.cuts, c)
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.cuts = slices.DeleteFunc(slices.Clone(n.cuts), func(other *cut) bool { return other == c })
	}
}

func (n *network) currentCuts() []*cut {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts
}

// pathFault returns the fault of the path by which a host sends an order to a worker.
func (h *host) pathFault(call fakes.OrderCall) fakes.OrderFaultKind {
	h.mu.Lock()
	fault := h.pathFaults[call.Worker]
	h.mu.Unlock()
	for _, c := range h.n.currentCuts() {
		if fault == fakes.OrderOK && c.order != nil {
			fault = c.order(h.name, call)
		}
	}
	return fault
}

// currentTableFault returns the fault of the host's calls to the table.
func (h *host) currentTableFault() fakes.TableFault {
	h.mu.Lock()
	fault := h.tableFault
	h.mu.Unlock()
	for _, c := range h.n.currentCuts() {
		if fault == fakes.TableOK && c.table != nil {
			fault = c.table(h.name)
		}
	}
	return fault
}

// canCall reports whether another host answers this one.
func (h *host) canCall(other *host) bool {
	if h != other && (!h.isReachable() || !other.isReachable()) {
		return false
	}
	return !slices.ContainsFunc(h.n.currentCuts(), func(c *cut) bool {
		return c.call != nil && h != other && c.call(h.name, other.name)
	})
}

// host is one process of a host, which acquires the group's lease by the rules of package agent.
type host struct {
	n       *network
	rank    int
	name    string
	process string
	view    *elect.View
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu   sync.Mutex
	dead bool
	// thawed is closed when the host is no longer frozen; nil if it is not frozen.
	thawed chan struct{}
	// freezeAtStart freezes the host for that time as it is about to send its next start.
	freezeAtStart time.Duration
	// freezeAfterCheck freezes the host for that time after a commit has found that the lease need not be renewed with it; renewals are lost
	// from then on.
	freezeAfterCheck time.Duration
	renewalsLost     bool
	// freezeAtClock, freezeAtCommit and freezeAfterStart freeze the host for that time once it has read its clock, as the answer
	// to its next commit is on its way, or once its next start has been carried out.
	freezeAtClock    time.Duration
	readsUntilFreeze int
	freezeAtCommit   time.Duration
	freezeAfterStart time.Duration
	// slowness returns how long the host takes for its next piece of work; nil if it takes no time.
	slowness func() time.Duration
	// loseNextReply loses the reply to the host's next commit that takes effect.
	loseNextReply bool
	// lateShares is how late the host's writes to the teams' shares take effect, without a reply; 0 means at once.
	lateShares time.Duration
	// tableFault is the fault of this host's calls to the table.
	tableFault fakes.TableFault
	// isolated says that other hosts can't reach this one.
	isolated bool
	// pathFaults holds the faults of the paths to workers.
	pathFaults map[string]fakes.OrderFaultKind
	// conns holds the open connections to each worker, and numNotSent counts the starts for which none was old enough.
	conns      map[string][]*workerConn
	numNotSent int
	// numStarted counts the starts that each worker has carried out.
	numStarted  map[string]int
	stopping    bool
	stopRunner  context.CancelFunc
	runner      *runner.Runner
	token       uint64
	handovers   map[uint64]cell.Handover
	confirmedAt time.Time
	// unanswered is the last attempt to acquire the lease that failed; only the campaign uses it.
	unanswered elect.Attempt
	// witness is what the host keeps as a witness of the other hosts' leases.
	witness elect.Witness
}

// startHost starts a process of the host with the given rank.
func (n *network) startHost(rank int, process string) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{
		n: n, rank: rank, name: n.hostName(rank), process: process, view: elect.NewView(), ctx: ctx, cancel: cancel,
		pathFaults: map[string]fakes.OrderFaultKind{}, conns: map[string][]*workerConn{}, numStarted: map[string]int{}, handovers: map[uint64]cell.Handover{},
	}
	n.mu.Lock()
	for len(n.hosts) <= rank {
		n.hosts = append(n.hosts, nil)
	}
	n.hosts[rank] = h
	n.mu.Unlock()
	f := table.Follower{
		Store: &hostStore{h}, Table: elect.Table, Partitions: func() []string { return []string{n.groupName(), hostsPartition} }, Load: h.applyLeases, Apply: h.applyLeases,
		OnAnswer: func() { h.view.TableAnswered(time.Now()) }, Pause: func() time.Duration { return leaseReadInterval }, Log: n.log,
	}
	h.goAsync(func() { f.Run(ctx) })
	h.goAsync(h.announce)
	h.goAsync(h.campaign)
}

func (h *host) goAsync(f func()) {
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		f()
	}()
}

// hostsPartition is the partition of the hosts' newest processes.
const hostsPartition = "hosts"

// announce writes the host's process to the table, where the others read it.
func (h *host) announce() {
	key := table.Key{Table: elect.Table, Partition: hostsPartition, Name: h.name}
	for h.ctx.Err() == nil {
		call, cancel := context.WithTimeout(h.ctx, time.Second)
		_, err := (&hostStore{h}).Commit(call, table.Tx{Writes: []table.Write{{Key: key, Value: []byte(h.process)}}})
		cancel()
		if err == nil || !clock.Pause(h.ctx, campaignInterval) {
			return
		}
	}
}

func (h *host) applyLeases(rows []table.Row) {
	_ = h.view.Apply(rows, time.Now())
	for _, row := range rows {
		if row.Partition == hostsPartition {
			h.view.SetIncarnation(row.Name, string(row.Value), row.Version, time.Now())
		}
	}
}

// freeze makes the host stand still for some time: its calls neither leave nor return, and its clocks can't be read.
func (h *host) freeze(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.freezeLocked(d)
}

func (h *host) freezeLocked(d time.Duration) {
	if h.thawed != nil || h.dead {
		return
	}
	thawed := make(chan struct{})
	h.thawed = thawed
	h.n.log.WithFields(logrus.Fields{"host": h.name, "for": d.String()}).Info("harness: host freezes")
	time.AfterFunc(d, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.thawed = nil
		close(thawed)
	})
}

// awaitThaw waits until the host is not frozen, and fails if it is dead.
func (h *host) awaitThaw() error {
	for {
		h.mu.Lock()
		dead, thawed := h.dead, h.thawed
		h.mu.Unlock()
		switch {
		case dead:
			return errHostDead
		case thawed == nil:
			return nil
		}
		<-thawed
	}
}

func (h *host) isFrozen() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.thawed != nil
}

// isolate keeps other hosts from reaching this one.
func (h *host) isolate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isolated = true
}

// isReachable reports whether the host answers other hosts.
func (h *host) isReachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.thawed == nil && !h.isolated
}

// sinceBoot is the boot clock; reading it takes as long as the host is frozen.
func (h *host) sinceBoot() time.Duration {
	if h.awaitThaw() != nil {
		return math.MaxInt64 / 2
	}
	now := time.Since(h.n.startedAt)
	h.mu.Lock()
	mayFreeze := h.readsUntilFreeze == 0
	h.readsUntilFreeze = max(0, h.readsUntilFreeze-1)
	h.mu.Unlock()
	if mayFreeze {
		h.freezeOnce(&h.freezeAtClock)
	}
	h.freezeIfJustRenewed()
	h.work()
	if h.awaitThaw() != nil {
		return math.MaxInt64 / 2
	}
	return now
}

// freezeAfterRenewalCheck freezes the host for some time after its next commit has found that the lease need not be renewed with it.
func (h *host) freezeAfterRenewalCheck(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.freezeAfterCheck = d
}

// freezeIfJustRenewed freezes the host for freezeAfterCheck if a commit has just found that the lease need not be renewed with it.
func (h *host) freezeIfJustRenewed() {
	h.mu.Lock()
	d, r := h.freezeAfterCheck, h.runner
	if d == 0 || r == nil || !isCalledBy(".addRenewal") {
		h.mu.Unlock()
		return
	}
	h.freezeAfterCheck = 0
	h.mu.Unlock()
	age := r.LeaseAge()
	h.mu.Lock()
	defer h.mu.Unlock()
	if age >= elect.RenewInterval/2 {
		h.freezeAfterCheck = d
		return
	}
	h.renewalsLost = true
	h.freezeLocked(d)
}

// freezeOnce freezes the host for a time that is then cleared.
func (h *host) freezeOnce(d *time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if *d > 0 {
		h.freezeLocked(*d)
		*d = 0
	}
}

// work takes the time that the next piece of work takes on a slow host.
func (h *host) work() {
	h.mu.Lock()
	slowness := h.slowness
	h.mu.Unlock()
	if slowness != nil {
		time.Sleep(slowness())
	}
}

// kill ends the process at once; nothing that it still does reaches anyone.
func (h *host) kill() {
	h.mu.Lock()
	h.dead = true
	h.mu.Unlock()
	h.n.log.WithField("host", h.name).Info("harness: host is killed")
	h.cancel()
}

// stop ends the process gracefully: it releases the lease and then ends.
func (h *host) stop() {
	h.n.log.WithField("host", h.name).Info("harness: host is stopped")
	h.mu.Lock()
	h.stopping = true
	stopRunner := h.stopRunner
	h.mu.Unlock()
	if stopRunner != nil {
		stopRunner()
	}
	time.AfterFunc(stopLimit, h.kill)
}

func (h *host) campaign() {
	for clock.Pause(h.ctx, campaignInterval) {
		if h.awaitThaw() == nil {
			h.tryAcquire()
		}
	}
}

func (h *host) tryAcquire() {
	h.mu.Lock()
	busy := h.runner != nil || h.stopping
	h.mu.Unlock()
	if busy {
		return
	}
	if h.view.Confirm(&h.unanswered) {
		attempt := h.unanswered
		h.unanswered = elect.Attempt{}
		h.run(attempt)
		return
	}
	previous, acquirable := h.view.Acquirable(h.n.groupName(), time.Duration(h.rank)*rankDelay, time.Now())
	if !acquirable || h.holderConfirms(previous) {
		return
	}
	attempt := h.view.NewAttempt(previous, h.sinceBoot(), time.Now())
	var err error
	attempt.Epoch, err = elect.Acquire(h.ctx, &hostStore{h}, previous, elect.Candidate{
		Name: h.name, Incarnation: h.process, Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(h.rank+1)),
	})
	if err != nil {
		h.unanswered = attempt
		clock.Pause(h.ctx, rankDelay)
		return
	}
	h.run(attempt)
}

func (h *host) holderConfirms(previous elect.Epoch) bool {
	unrenewed, ok := h.view.UnresponsiveFor(h.n.groupName(), time.Now())
	if !ok || unrenewed > maxUnrenewed || previous.Holder == h.name {
		return false
	}
	if time.Since(h.confirmedAt) < confirmationTTL {
		return true
	}
	holder := h.n.findHost(previous.Holder)
	if holder == nil || !h.canCall(holder) || !holder.holds(previous.Token) {
		return false
	}
	h.confirmedAt = time.Now()
	return true
}

func (n *network) findHost(name string) *host {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (h *host) holds(token uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.dead && !h.stopping && h.runner != nil && h.token == token
}

// fetchHandover requests the handover state of a released lease from the host that released it.
func (h *host) fetchHandover(previous elect.Epoch) (cell.Handover, bool) {
	address, token, ok := previous.Handover()
	if !ok {
		return cell.Handover{}, false
	}
	holder := h.n.findHost(h.n.hostName(int(address.Port()) - 1))
	if holder == nil || !holder.isReachable() || !h.canCall(holder) {
		return cell.Handover{}, false
	}
	holder.mu.Lock()
	defer holder.mu.Unlock()
	handover, ok := holder.handovers[token]
	return handover, ok && !holder.dead
}

func (h *host) run(acquired elect.Attempt) {
	epoch, previous := acquired.Epoch, acquired.Previous
	log := h.n.log.WithField("host", h.name)
	r := runner.New(runner.Config{
		Epoch: epoch, Store: &hostStore{h}, Workers: &hostWorkers{h}, Registry: &hostRegistry{h}, Advisors: h.n.advisor, Queues: h.n.configs,
		Settings: cell.Settings{Lease: lease, RunsPerToken: 1000}, PreviousOrdersUntil: acquired.OrdersUntil, Unconfirmed: acquired.Unconfirmed,
		LastWitnesses: acquired.Witnesses, UnextendedUntil: acquired.UnextendedUntil, Witnesses: &hostWitnesses{h},
		SinceBoot: h.sinceBoot, Log: log,
		Previous:      previous,
		FetchHandover: func(context.Context) (cell.Handover, bool) { return h.fetchHandover(previous) },
	})
	ctx, stopRunner := context.WithCancel(h.ctx)
	h.mu.Lock()
	h.runner, h.token, h.stopRunner = r, epoch.Token, stopRunner
	h.mu.Unlock()
	h.goAsync(func() {
		err := r.Run(ctx, acquired.SentAt)
		handover, handoverErr := r.Cell().Handover(time.Now())
		h.mu.Lock()
		h.runner, h.stopRunner = nil, nil
		if handoverErr == nil {
			h.handovers[epoch.Token] = handover
		}
		h.mu.Unlock()
		var lost *elect.LostError
		if errors.As(err, &lost) {
			return
		}
		for h.ctx.Err() == nil {
			err := elect.Release(h.ctx, &hostStore{h}, epoch, r.ReleaseState(time.Now()))
			var conflict *table.ConflictError
			if err == nil || errors.As(err, &conflict) {
				return
			}
			clock.Pause(h.ctx, rankDelay)
		}
	})
}

// hostWitnesses are the other hosts as one host reaches them.
type hostWitnesses struct {
	h *host
}

// Candidates implements runner.Witnesses.
func (w *hostWitnesses) Candidates() []elect.Peer {
	w.h.n.mu.Lock()
	hosts := slices.Clone(w.h.n.hosts)
	w.h.n.mu.Unlock()
	var peers []elect.Peer
	for _, other := range hosts {
		if other != nil && other.name != w.h.name && w.h.canCall(other) {
			peers = append(peers, elect.Peer{Host: other.name, Incarnation: other.process})
		}
	}
	return peers
}

// Extend implements runner.Witnesses.
func (w *hostWitnesses) Extend(ctx context.Context, p elect.Peer, group string, token uint64) bool {
	return w.ask(ctx, p, func(other *host) bool { return other.witness.Extend(group, token, time.Since(w.h.n.startedAt)) })
}

// Refuse implements runner.Witnesses.
func (w *hostWitnesses) Refuse(ctx context.Context, p elect.Peer, group string, token uint64, within time.Duration) bool {
	return w.ask(ctx, p, func(other *host) bool { return other.witness.Refuse(group, token, within, time.Since(w.h.n.startedAt)) })
}

// Probe implements runner.Witnesses.
func (w *hostWitnesses) Probe(ctx context.Context, p elect.Peer) bool {
	return w.ask(ctx, p, func(*host) bool { return true })
}

// ask asks another process; one that is frozen answers late.
func (w *hostWitnesses) ask(ctx context.Context, p elect.Peer, question func(*host) bool) bool {
	if w.h.awaitThaw() != nil {
		return false
	}
	other := w.h.n.findHost(p.Host)
	if other == nil || other.process != p.Incarnation || (!other.isFrozen() && !w.h.canCall(other)) || other.awaitThaw() != nil {
		<-ctx.Done()
		return false
	}
	yes := question(other)
	return w.h.awaitThaw() == nil && ctx.Err() == nil && w.h.canCall(other) && yes
}

// hostStore is the table as one host reaches it.
type hostStore struct {
	h *host
}

func (s *hostStore) enter(ctx context.Context, op string) error {
	if err := s.h.awaitThaw(); err != nil {
		return &table.UnansweredError{Op: op, Err: err}
	}
	s.h.work()
	switch s.h.currentTableFault() {
	case fakes.TableUnavailable:
		return &table.RefusedError{Op: op, Status: 503}
	case fakes.TableNoReply:
		<-ctx.Done()
		return &table.UnansweredError{Op: op, Err: ctx.Err()}
	default:
		return nil
	}
}

// leave holds back a reply while the host is frozen, and loses it if the host is dead or its caller has given up.
func (s *hostStore) leave(ctx context.Context, op string, err error) error {
	if thawErr := s.h.awaitThaw(); thawErr != nil {
		return &table.UnansweredError{Op: op, Err: thawErr}
	}
	if err == nil && ctx.Err() != nil {
		return &table.UnansweredError{Op: op, Err: ctx.Err()}
	}
	return err
}

// unannouncedProcess is a process whose announcement is lost.
const unannouncedProcess = "unannounced"

// loses reports whether a commit does not reach the table.
func (s *hostStore) loses(tx table.Tx) bool {
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	renewal := elect.RenewWrite(s.h.n.groupName(), elect.Renewal{}).Key
	return slices.ContainsFunc(tx.Writes, func(w table.Write) bool {
		return (w.Partition == hostsPartition && s.h.process == unannouncedProcess) || (w.Key == renewal && s.h.renewalsLost)
	})
}

// lateBy returns how late a commit takes effect.
func (s *hostStore) lateBy(tx table.Tx) time.Duration {
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	if slices.ContainsFunc(tx.Writes, func(w table.Write) bool { return w.Table == runner.TableShares }) {
		return s.h.lateShares
	}
	return 0
}

func (h *host) setLateShares(late time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lateShares = late
}

// Commit implements table.Store.
func (s *hostStore) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	if err := s.enter(ctx, "commit"); err != nil {
		return 0, err
	}
	if s.loses(tx) {
		<-ctx.Done()
		return 0, &table.UnansweredError{Op: "commit", Err: ctx.Err()}
	}
	if late := s.lateBy(tx); late > 0 {
		time.AfterFunc(late, func() { _, _ = s.h.n.store.Apply(tx) })
		<-ctx.Done()
		return 0, &table.UnansweredError{Op: "commit", Err: ctx.Err()}
	}
	version, err := s.h.n.store.Commit(ctx, tx)
	s.h.mu.Lock()
	if s.h.loseNextReply && err == nil {
		s.h.loseNextReply, err = false, &table.UnansweredError{Op: "commit", Err: errReplyLost}
	}
	s.h.mu.Unlock()
	s.h.freezeOnce(&s.h.freezeAtCommit)
	return version, s.leave(ctx, "commit", err)
}

// Read implements table.Store.
func (s *hostStore) Read(ctx context.Context, q table.Range) (table.Page, error) {
	if err := s.enter(ctx, "read"); err != nil {
		return table.Page{}, err
	}
	page, err := s.h.n.store.Read(ctx, q)
	return page, s.leave(ctx, "read", err)
}

// Changes implements table.Store.
func (s *hostStore) Changes(ctx context.Context, name string, after uint64, wait time.Duration) (table.Changes, error) {
	if err := s.enter(ctx, "changes"); err != nil {
		return table.Changes{}, err
	}
	changes, err := s.h.n.store.Changes(ctx, name, after, wait)
	return changes, s.leave(ctx, "changes", err)
}

// hostWorkers are the workers as one host reaches them.
type hostWorkers struct {
	h *host
}

// workerConn is a connection to an incarnation of a worker, which closes it as it ends. One order uses it at a time.
type workerConn struct {
	incarnation order.Incarnation
	openedAt    time.Time
	inUse       bool
}

// takeConn returns a free connection to a worker that has been open for minAge; a new one if minAge is 0. If there is none, wait tells whether
// one that is in use is old enough.
func (h *host) takeConn(worker string, minAge time.Duration) (conn *workerConn, wait bool) {
	w := h.n.workers.Worker(worker)
	incarnation := w.Incarnation()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns[worker] = slices.DeleteFunc(h.conns[worker], func(c *workerConn) bool { return c.incarnation != incarnation })
	for _, c := range h.conns[worker] {
		switch {
		case time.Since(c.openedAt) < minAge:
		case !c.inUse:
			c.inUse = true
			return c, false
		default:
			wait = true
		}
	}
	if minAge > 0 {
		return nil, wait
	}
	conn = &workerConn{incarnation, time.Now(), true}
	h.conns[worker] = append(h.conns[worker], conn)
	return conn, false
}

func (h *host) releaseConn(conn *workerConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	conn.inUse = false
}

// connect returns a connection to a worker that has been open for as long as a start demands, as package platform does.
func (h *host) connect(ctx context.Context, worker string, o order.Start) (*workerConn, error) {
	minAge := func() time.Duration {
		if o.MinConnAge == nil {
			return 0
		}
		return o.MinConnAge()
	}
	for startedAt := time.Now(); ; {
		conn, wait := h.takeConn(worker, minAge())
		switch {
		case conn == nil && wait && clock.Pause(ctx, time.Millisecond):
			continue
		case conn == nil:
			h.mu.Lock()
			h.numNotSent++
			h.mu.Unlock()
			return nil, &order.NotSentError{Worker: worker, Err: &order.NoOldConnError{Waited: time.Since(startedAt)}}
		case o.BeforeSend != nil && !o.BeforeSend():
			h.releaseConn(conn)
			return nil, &order.NotSentError{Worker: worker, Err: errNoLongerWanted}
		case time.Since(conn.openedAt) >= minAge():
			return conn, nil
		}
		h.releaseConn(conn)
	}
}

// sendOrder sends an order over the path to a worker. An order that is about to be sent when the host freezes is sent when it
// runs again.
func sendOrder[T any](
	ctx context.Context, h *host, call fakes.OrderCall, start order.Start, do func(ctx context.Context) (T, error),
) (T, error) {
	var none T
	worker := call.Worker
	if call.Op == fakes.OpStart {
		h.freezeOnce(&h.freezeAtStart)
	}
	h.work()
	if err := h.awaitThaw(); err != nil {
		return none, &order.UnansweredError{Worker: worker, Err: err}
	}
	fault := h.pathFault(call)
	if fault == fakes.OrderDropped {
		<-ctx.Done()
		return none, &order.UnansweredError{Worker: worker, Err: ctx.Err()}
	}
	if err := fault.ConnError(worker); err != nil {
		return none, err
	}
	conn, err := h.connect(ctx, worker, start)
	if err != nil {
		return none, err
	}
	defer h.releaseConn(conn)
	reply, err := do(ctx)
	if call.Op == fakes.OpStart {
		h.freezeOnce(&h.freezeAfterStart)
	}
	if thawErr := h.awaitThaw(); thawErr != nil {
		return none, &order.UnansweredError{Worker: worker, Err: thawErr}
	}
	if fault == fakes.OrderNoReply {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return none, &order.UnansweredError{Worker: worker, Err: ctx.Err()}
	}
	return reply, err
}

// Start implements order.Workers.
func (s *hostWorkers) Start(ctx context.Context, w *order.Worker, o order.Start) (time.Duration, error) {
	call := fakes.OrderCall{Op: fakes.OpStart, Worker: w.ID, Task: o.Task, Run: o.Run}
	return sendOrder(ctx, s.h, call, o, func(ctx context.Context) (time.Duration, error) {
		at, err := s.h.n.workers.Start(ctx, w, o)
		if err == nil {
			s.h.mu.Lock()
			s.h.numStarted[w.ID]++
			s.h.mu.Unlock()
		}
		return at, err
	})
}

// Stop implements order.Workers.
func (s *hostWorkers) Stop(ctx context.Context, w *order.Worker, o order.Stop) (time.Duration, error) {
	call := fakes.OrderCall{Op: fakes.OpStop, Worker: w.ID, Task: o.Task, Run: o.Run}
	return sendOrder(ctx, s.h, call, order.Start{}, func(ctx context.Context) (time.Duration, error) { return s.h.n.workers.Stop(ctx, w, o) })
}

// Throttle implements order.Workers.
func (s *hostWorkers) Throttle(ctx context.Context, w *order.Worker, o order.Throttle) (time.Duration, error) {
	call := fakes.OrderCall{Op: fakes.OpThrottle, Worker: w.ID, Task: o.Task, Run: o.Run}
	return sendOrder(ctx, s.h, call, order.Start{}, func(ctx context.Context) (time.Duration, error) { return s.h.n.workers.Throttle(ctx, w, o) })
}

// Poll implements order.Workers.
func (s *hostWorkers) Poll(ctx context.Context, w *order.Worker, o order.Poll) (order.Report, error) {
	call := fakes.OrderCall{Op: fakes.OpPoll, Worker: w.ID}
	return sendOrder(ctx, s.h, call, order.Start{}, func(ctx context.Context) (order.Report, error) { return s.h.n.workers.Poll(ctx, w, o) })
}

// OldestConn implements order.Workers.
func (s *hostWorkers) OldestConn(w *order.Worker) (age time.Duration, ok bool) {
	current := s.h.n.workers.Worker(w.ID)
	incarnation := current.Incarnation()
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	for _, c := range s.h.conns[w.ID] {
		if c.incarnation == incarnation {
			age, ok = max(age, time.Since(c.openedAt)), true
		}
	}
	return age, ok
}

// Forget implements order.Workers.
func (s *hostWorkers) Forget(*order.Worker) {}

// hostRegistry is the registry as one host reads it from the table.
type hostRegistry struct {
	h *host
}

// Follow implements runner.Registry.
func (s *hostRegistry) Follow(ctx context.Context, list func([]order.Worker), changed func(order.Worker), gone func(string)) {
	store := &hostStore{s.h}
	// readable waits until the table serves this host.
	readable := func() bool {
		for ctx.Err() == nil {
			call, cancel := context.WithTimeout(ctx, time.Second)
			_, err := store.Read(call, table.Range{Table: "servers", Limit: 1})
			cancel()
			if err == nil {
				return true
			}
			clock.Pause(ctx, 150*time.Millisecond)
		}
		return false
	}
	if !readable() {
		return
	}
	s.h.n.registry.Follow(ctx, list, func(w order.Worker) {
		if readable() {
			changed(w)
		}
	}, func(id string) {
		if readable() {
			gone(id)
		}
	})
}

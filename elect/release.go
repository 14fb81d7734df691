package elect

import (
	"context"
	"net/netip"
	"time"

	"github.com/corianderdrift/corianderdrift/table"
)

// ReleaseState is what a holder that releases a lease tells the next one.
type ReleaseState struct {
	// Unconfirmed lists the workers that the next holder need not wait for longer than given.
	Unconfirmed []UnconfirmedWorker
	// OrdersFor is how long from now this or an earlier holder may send orders, negative if they stopped before; nil if that is not known.
	OrdersFor *time.Duration
	// HandoverAddress and HandoverToken name the handover state of an earlier holder that still applies, since this one has sent no orders;
	// the zero address means that of this holder.
	HandoverAddress netip.AddrPort
	HandoverToken   uint64
}

// Release releases a lease, so that another host need not wait for the timeout.
func Release(ctx context.Context, s table.Store, e Epoch, state ReleaseState) error {
	released := Epoch{
		Group: e.Group, Token: e.Token, Unconfirmed: state.Unconfirmed, RecordsSince: e.RecordsSince, OrdersFor: state.OrdersFor,
		HandoverAddress: e.Address,
	}
	if state.HandoverAddress.IsValid() {
		released.HandoverAddress, released.HandoverToken = state.HandoverAddress, state.HandoverToken
	}
	_, err := write(ctx, s, e, released)
	return err
}

// Handover returns the address of the host that can be asked for the handover state of a released lease, and the token under which that was
// left; false if there is none.
func (e Epoch) Handover() (address netip.AddrPort, token uint64, ok bool) {
	if e.Holder != "" || !e.HandoverAddress.IsValid() {
		return netip.AddrPort{}, 0, false
	}
	if e.HandoverToken != 0 {
		return e.HandoverAddress, e.HandoverToken, true
	}
	return e.HandoverAddress, e.Token, true
}

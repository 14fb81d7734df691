// Package loads generates open-loop load from profiles and traces and reports the outcomes and latencies of the requests.
package loads

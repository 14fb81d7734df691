// Package loads sends open-loop load from profiles and traces and reports what its callers got.
package loads

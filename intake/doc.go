// Package intake makes submitted jobs durable, and tells and cancels them, on any host.
package intake

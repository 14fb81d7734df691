// Package intake stores submitted jobs, and returns their state and cancels them, on any host.
package intake

// Package bench measures the policy on small cells against a plain baseline.
package bench

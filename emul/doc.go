// Package emul plays a load on the scheduler of one group in virtual time, without network access, and reports what was served.
package emul

// Package reason names the outcomes of work and the reasons for refusals, and carries them as errors.
package reason

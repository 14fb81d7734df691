// Package learn estimates from past runs the run time, memory and failure rate of work.
package learn

// Package queues holds the current configuration: the queues that accept jobs and the services whose workers run them.
package queues

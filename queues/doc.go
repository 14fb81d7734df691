// Package queues holds the configuration in force: the queues that take jobs and the services whose workers run them.
package queues

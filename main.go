// Command oriolepier schedules latency-critical and batch work on shared VMs.
package main

func main() {}

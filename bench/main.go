// Command marigold-bench is described in man/marigold-bench.1.md.
package main

func main() {}

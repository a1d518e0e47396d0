// Command marigold-control is described in man/marigold-control.1.md.
package main

func main() {}

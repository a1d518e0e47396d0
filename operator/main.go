// Command marigold is described in man/marigold.1.md.
package main

func main() {}

// Command marigold-router is described in man/marigold-router.1.md.
package main

func main() {}

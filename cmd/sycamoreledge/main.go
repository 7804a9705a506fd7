// Command sycamoreledge is the daemon of an entry instance and the operators'
// client.
package main

func main() {}

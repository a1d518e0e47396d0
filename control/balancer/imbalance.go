package balancer

// Imbalance is the largest to the mean utilization of servers; 1 is even. It is 1,
// too, while the mean is below idleLoad, since one request more or less would
// decide it.
func Imbalance(servers []ServerLoad) float64 {
	total, most := 0.0, 0.0
	for _, server := range servers {
		utilization := server.Load / float64(max(server.Slots, 1))
		total += utilization
		most = max(most, utilization)
	}
	if total < idleLoad*float64(len(servers)) || total == 0 {
		return 1
	}
	return most * float64(len(servers)) / total
}

package balancer

// Imbalance is the ratio of the largest to the mean utilization of servers; 1 is
// even. It is also 1 while the mean is below idleUtilization, where a single
// request would change the ratio.
func Imbalance(servers []ServerLoad) float64 {
	total, most := 0.0, 0.0
	for _, server := range servers {
		utilization := server.Load / float64(max(server.Slots, 1))
		total += utilization
		most = max(most, utilization)
	}
	if total < idleUtilization*float64(len(servers)) || total == 0 {
		return 1
	}
	return most * float64(len(servers)) / total
}

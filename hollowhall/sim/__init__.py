"""A whole fleet simulated from a seed, in virtual time: loop, net, disks, faults, storms."""

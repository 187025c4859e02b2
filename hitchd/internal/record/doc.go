// Package record keeps the records of requests that crash servers in the platform's table, which
// alone outlives all hosts.
//
// The load pattern is a request that comes again after all hosts were lost at once: they would
// run it on three servers anew. [crash.Suspects] decides which records are saved: few, so that a day takes
// a few writes.
//
//   - A host that has recorded a crash saves at once what the table lacks. Hosts that read the store
//     themselves do it some seconds later, in case that host is gone, and read the rows again from
//     time to time: the store may have been restored from a copy.
//   - A host that starts reads the rows once it is one of those that read the store. It merges them like
//     the reports of another host, and the others get them with its reports.
//   - Each write depends on the position of its row and contains what the row had. After a conflict, or a
//     write whose outcome is unknown, the rows are read again.
//   - A host at which a success clears a record reads the rows and removes its row at once. Other rows of cleared
//     or expired records are removed later, by the hosts that notice.
package record

package rillyard.faultinjection;

/**
 * A process of a fault-injection run.
 *
 * @param index number of the process, from 0
 * @param name name of the process, {@code m} and the index
 * @param zone number of its zone, from 0
 * @param region number of its region, from 0
 */
record FleetProcess(int index, String name, int zone, int region) {
    /** Creates a process with its name, zone and region derived from its index. */
    static FleetProcess of(int index, int zones, int regions) {
        return new FleetProcess(index, "m" + index, index % zones, index % zones % regions);
    }
}

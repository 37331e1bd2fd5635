package rillyard.faultinjection;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import rillyard.scheduling.EventLoops;

/** The ways from each process of a fault-injection run to each host, and to discovery: a listener for each pair. */
final class TcpRelays implements AutoCloseable {
    private final EventLoopGroup group = EventLoops.group(1, "host-relays");
    private final EventLoop loop = group.next();
    private final ConnectionFaults faults = new ConnectionFaults();
    private final Map<InetSocketAddress, RelayTarget> targets = new HashMap<>();
    /** By the process's address and the host's: what a process is told instead. */
    private final Map<InetAddress, Map<String, String>> told = new HashMap<>();

    /**
     * Opens the ways of one process to one host.
     *
     * @param own the process's own address
     * @return where the process is to call
     * @throws Exception what the bind throws
     */
    synchronized InetSocketAddress open(
            FleetProcess from, InetAddress own, String host, String zone, InetSocketAddress target) throws Exception {
        RelayTarget called = targets.computeIfAbsent(target, address -> new RelayTarget(host, zone, address, loop));
        TcpRelay link = new TcpRelay(from, called, loop, faults);
        link.open(own);
        told.computeIfAbsent(own, a -> new HashMap<>()).put(text(target), text(link.address()));
        return link.address();
    }

    /** What a process is told of a host's address; as it is where no way was opened. */
    synchronized String told(InetAddress caller, String address) {
        return told.getOrDefault(caller, Map.of()).getOrDefault(address, address);
    }

    void begin(InjectedFault fault) {
        loop.execute(() -> {
            faults.begin(fault);
            targets().forEach(RelayTarget::changed);
        });
    }

    void end(InjectedFault fault) {
        loop.execute(() -> {
            faults.end(fault);
            targets().forEach(RelayTarget::changed);
        });
    }

    private synchronized List<RelayTarget> targets() {
        return List.copyOf(targets.values());
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
}

package rillyard.membership.net;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import rillyard.membership.MemberAddress;
import rillyard.membership.MemberIdentity;
import rillyard.membership.MembershipSettings;

/**
 * The configuration of one member.
 *
 * @param listen the address of its datagram socket
 * @param identity the member, with the address at which others reach it
 * @param seeds addresses of other members
 * @param membership the parameters of the protocol
 * @param keys the fleet's keys: the first for sealing, all for opening; empty if datagrams are not sealed
 * @param history the file of the event log, or null
 * @param admin the address for {@code members --admin}, or null
 * @param outlierGossip whether proxies gossip about failing hosts
 * @param clockRate milliseconds that the member's clock advances per real millisecond; other than 1 only in tests
 */
public record FleetConfig(
        InetSocketAddress listen,
        MemberIdentity identity,
        List<MemberAddress> seeds,
        MembershipSettings membership,
        List<byte[]> keys,
        Path history,
        InetSocketAddress admin,
        boolean outlierGossip,
        double clockRate) {}

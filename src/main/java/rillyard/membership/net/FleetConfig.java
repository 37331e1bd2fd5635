package rillyard.membership.net;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import rillyard.membership.MemberAddress;
import rillyard.membership.MemberIdentity;
import rillyard.membership.MembershipSettings;

/**
 * One member's settings.
 *
 * @param listen where its datagrams come in and go out
 * @param identity who it is, with the address at which others reach it
 * @param seeds where others may be
 * @param keys of the group, the first seals and all open; empty where datagrams are not sealed
 * @param history file that gets a line for each change of belief; null for none
 * @param admin where `members --admin` may ask; null for nowhere
 * @param outlierGossip whether proxies tell each other which hosts fail, and how much each sends
 * @param clockRate ms that pass in one on the clock that decisions are fed with; 1 but in trials of bad clocks
 */
public record FleetConfig(
        InetSocketAddress listen,
        MemberIdentity identity,
        List<MemberAddress> seeds,
        MembershipSettings member,
        List<byte[]> keys,
        Path history,
        InetSocketAddress admin,
        boolean outlierGossip,
        double clockRate) {}

package org.geraniumford.transport.forward;

import static java.util.Objects.requireNonNull;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses addresses of the form IP:PORT. Never looks up a name, so that network threads can use it. */
public final class Endpoints {
    private static final Pattern FORM = Pattern.compile("([0-9.]{7,15}):([0-9]{1,5})");
    private static final int MAX_PORT = 65_535;

    private Endpoints() {}

    // -- parsing

    /**
     * Parses an address.
     *
     * @param text the address, an IPv4 address in four decimal numbers, a colon and a port from 1 to 65535
     * @return the address, or empty if the text has another form or a number is out of range
     */
    public static Optional<InetSocketAddress> parse(String text) {
        Matcher matcher = FORM.matcher(requireNonNull(text, "text is null"));
        if (!matcher.matches() || !NetUtil.isValidIpV4Address(matcher.group(1))) {
            return Optional.empty();
        }
        int port = Integer.parseInt(matcher.group(2));
        return port >= 1 && port <= MAX_PORT
                ? Optional.of(new InetSocketAddress(numericAddress(matcher.group(1)), port))
                : Optional.empty();
    }

    private static InetAddress numericAddress(String ip) {
        try {
            return InetAddress.getByAddress(NetUtil.createByteArrayFromIpAddressString(ip));
        } catch (UnknownHostException e) {
            throw new IllegalStateException(ip + " has no four bytes", e);
        }
    }
}

package org.geraniumford.standins.service;

/**
 * The options of a plain service stand-in.
 *
 * @param port the port on loopback; 0 selects a free port
 * @param delayMillis the delay of each ballot, send and status query, in milliseconds
 */
public record ServiceOptions(int port, long delayMillis) {
    /**
     * Returns the default options of a service on a free port.
     *
     * @return a free port and no delay
     */
    public static ServiceOptions ofDefaults() {
        return new ServiceOptions(0, 0);
    }
}

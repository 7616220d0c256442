package org.geraniumford.standins.service;

/**
 * How a plain service is started.
 *
 * @param port the port on loopback; 0 takes a free one
 * @param delayMillis how long each call takes, in milliseconds
 */
public record ServiceOptions(int port, long delayMillis) {
    /**
     * Returns the options of a fast service on a free port.
     *
     * @return no delay
     */
    public static ServiceOptions ofDefaults() {
        return new ServiceOptions(0, 0);
    }
}

/** What the stand-ins share: one network thread, JSON bodies and routes. */
package org.geraniumford.standins.http;

/** The platform's host list, kept up to date in each process. */
package org.geraniumford.daemon.membership;
